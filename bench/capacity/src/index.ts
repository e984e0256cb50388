/** Slopes from which docs/CAPACITY.md is worked out, each measured at several points. */
export * from './fit.ts'
export * from './records.ts'
export * from './links.ts'
export * from './control.ts'
