/** The HTTP interface of an entry. */
export * from './api.ts'
export * from './caller-dialect.ts'
export * from './metrics.ts'
