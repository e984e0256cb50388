/** Which requests crash the endpoints that run them. */
export * from './fingerprint.ts'
