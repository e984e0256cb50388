/** Notices: what endpoints state about themselves in response headers. */
export * from './limit.ts'
export * from './notices.ts'
export * from './retry-after.ts'
