/** The rule that a stream goes on only at the build that began it. */
export * from './binding.ts'
export * from './binding-outbox.ts'
export * from './binding-table.ts'
export * from './holders.ts'
export * from './service-builds.ts'
export * from './stream-key.ts'
