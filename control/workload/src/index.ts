/** What entries have under way, added up by endpoint, and what they saw of engines, learnt from together. */
export * from './reading-table.ts'
export * from './workload-table.ts'
