/** A stand-in for model engines and plain services, with faults on demand and a ledger of every run. */
export * from './batch.ts'
export * from './engine-server.ts'
export * from './host.ts'
export * from './service-server.ts'
export * from './ledger.ts'
