/**
 * A deployment of separate processes: the built programs, started from settings
 * files as a user would write them. For tests and measurements; `npm run build`
 * must have run.
 */
export * from './child.ts'
export * from './figures.ts'
export * from './process-deployment.ts'
