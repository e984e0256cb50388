/** Open-loop load on entries, with a check of every answer. */
export * from './scenario.ts'
export * from './arrivals.ts'
export * from './caller.ts'
export * from './run-load.ts'
export * from './report.ts'
