/** Links between the processes of the system: `ws` connections that carry typed messages. */
export * from './link.ts'
export * from './dial.ts'
export * from './accept.ts'
export * from './codec.ts'
export * from './handshake.ts'
export * from './metrics.ts'
