/** Running attempts on the endpoints of a box, each at most once. */
export * from './registry.ts'
export * from './runner.ts'
export * from './crashes.ts'
