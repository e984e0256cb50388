/** Limits: in-flight work of an endpoint, rate and in-flight work of an organisation, and the budget for retries. */
export * from './adaptive-limit.ts'
export * from './organisation-limits.ts'
export * from './retry-budget.ts'
export * from './sample-window.ts'
