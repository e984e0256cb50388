/** A whole deployment in one process, from the same code as the programs: for the demo, tests and measurements. */
export * from './deployment.ts'
export * from './free-address.ts'
export * from './raw-requests.ts'
