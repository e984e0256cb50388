/** Identification and quarantine of requests that crash the endpoints that run them. */
export * from './crash-causes.ts'
export * from './crash-evidence.ts'
export * from './fingerprint.ts'
