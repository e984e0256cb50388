/** The stand-ins for the review's scripts. */
export * from './deployment.mjs'
export * from './peers.mjs'
export * from './record.mjs'
