/** Backoffs that endpoints request with `Retry-After`, and the slow start after each backoff. */
export * from './backoff.ts'
export * from './backoff-table.ts'
