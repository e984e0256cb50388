/** Bounds on the requests of one endpoint within a time. */
export * from './advertised-limit.ts'
export * from './rate-bound.ts'
export * from './rate-meter.ts'
export * from './send-log.ts'
