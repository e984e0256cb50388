import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['*/*/test/**/*.test.ts', 'tools/test/**/*.test.mjs'],
    testTimeout: 30_000,
    pool: 'forks',
    // Many tests start processes of their own and hold real times: a worker on each core would take their processor time.
    maxWorkers: '50%'
  }
})
