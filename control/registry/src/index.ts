/** Leases of endpoints that register themselves. */
export * from './lease-table.ts'
export * from './limit-words.ts'
export * from './life.ts'
