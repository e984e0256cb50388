/** The replicated state: operators' records, their history, and claims. */
export * from './commands.ts'
export * from './control-state.ts'
export * from './claims.ts'
export * from './usage-reports.ts'
export * from './scaling-orders.ts'
export * from './evacuations.ts'
export * from './quarantine.ts'
export * from './leaves.ts'
