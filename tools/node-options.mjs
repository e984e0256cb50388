/** The options that the deploy file starts the platform's programs with; a code cache holds for these only. */
export const NODE_OPTIONS = {
  gateway: ['--max-old-space-size=120', '--max-semi-space-size=2'],
  control: ['--max-old-space-size=160', '--max-semi-space-size=2']
}
