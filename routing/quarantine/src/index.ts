/** Which requests crash the endpoints that run them: how they are known again, and when they are held. */
export * from './crash-causes.ts'
export * from './crash-evidence.ts'
export * from './fingerprint.ts'
