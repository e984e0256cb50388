import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['*/*/test/**/*.test.ts', 'tools/test/**/*.test.mjs'],
    testTimeout: 30_000,
    pool: 'forks',
    // The bundles carry no native helper of the codec, which decodes strings in another way.
    env: { MSGPACKR_NATIVE_ACCELERATION_DISABLED: 'true' },
    // Many tests start processes of their own and hold real times: a worker on each core would take their processor time.
    maxWorkers: '50%'
  }
})
