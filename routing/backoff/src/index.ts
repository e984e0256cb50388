/** Endpoints that asked to be left alone for a time, and the slow start after it. */
export * from './backoff.ts'
export * from './backoff-table.ts'
