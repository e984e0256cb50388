/** Which endpoints crash, and what was running there. */
export * from './crash-reporter.ts'
export * from './crash-detector.ts'
