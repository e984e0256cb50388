/** Detection of endpoint crashes, and reports of the requests that were running there. */
export * from './crash-reporter.ts'
export * from './crash-detector.ts'
export * from './part-observer.ts'
