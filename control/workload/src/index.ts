/** What entries have under way, added up by endpoint. */
export * from './workload-table.ts'
