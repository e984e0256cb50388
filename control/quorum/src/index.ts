/** The replicated log: a quorum protocol with elections, snapshots and membership changes. */
export * from './types.ts'
export * from './quorum-node.ts'
export * from './members.ts'
