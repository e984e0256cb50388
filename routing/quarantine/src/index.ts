/** Identification and quarantine of requests that crash the endpoints that run them. */
export * from './crash-causes.ts'
export * from './crash-evidence.ts'
export * from './fingerprint.ts'
export * from './held-parts.ts'
export * from './part-causes.ts'
export * from './part-evidence.ts'
export * from './part-runs.ts'
export * from './prompt-parts.ts'
