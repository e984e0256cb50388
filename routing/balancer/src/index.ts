/** Choosing among endpoints that are reached directly. */
export * from './choose.ts'
export * from './endpoint-state.ts'
export * from './prefix-memory.ts'
export * from './reading-observer.ts'
export * from './rendezvous.ts'
export * from './retry-budget.ts'
export * from './strain.ts'
export * from './urgency.ts'
