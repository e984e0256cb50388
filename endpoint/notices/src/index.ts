/** What endpoints say of themselves in the heads of their answers. */
export * from './limit.ts'
export * from './notices.ts'
export * from './retry-after.ts'
