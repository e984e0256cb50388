/** Limits on the in-flight requests of an endpoint, on the rate and in-flight requests of an organisation, and on retries. */
export * from './adaptive-limit.ts'
export * from './organisation-limits.ts'
export * from './retry-budget.ts'
export * from './sample-window.ts'
