/** Usage by window and organisation: the windows, what an entry counts, and what control keeps of all entries. */
export * from './usage-counter.ts'
export * from './usage-table.ts'
export * from './windows.ts'
