import neostandard from 'neostandard'

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      'max-lines': ['error', { max: 350 }],
      'max-lines-per-function': ['error', { max: 70 }],
      'no-void': ['error', { allowAsStatement: true }],
      '@stylistic/max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true }]
    }
  },
  { files: ['*/*/test/**'], rules: { 'max-lines-per-function': 'off' } }
]
