/** Spreads accepted revisions of the records along every link, forward only. */
export * from './revision-store.ts'
export * from './spreader.ts'
