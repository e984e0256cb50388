/** Identification and quarantine of requests that crash the endpoints that run them. */
export * from './blame.ts'
export * from './crash-evidence.ts'
export * from './fingerprint.ts'
