/** Rate limits of one endpoint: bounds on the requests sent within a time window. */
export * from './advertised-limit.ts'
export * from './rate-bound.ts'
export * from './rate-meter.ts'
export * from './send-log.ts'
