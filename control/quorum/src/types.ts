/** What the quorum needs from outside, and what it tells. */
import { type Message, type MessageKind, type MessageOf } from '@gullwall/transport.messages'

/** Carries requests to other members. */
export interface QuorumTransport {
  /** @throws if no reply came in time */
  call<Kind extends MessageKind> (address: string, message: Message, expected: Kind, timeoutMs: number): Promise<MessageOf<Kind>>
}

/** What the log drives. Every member applies the same commands in the same order. */
export interface StateMachine {
  /** Applies a command and gives its result. Must depend on nothing but the state and the command. */
  apply (index: number, command: string): string
  /** The whole state as text. */
  snapshot (): string
  restore (snapshot: string): void
}

/** The outcome of a command that a quorum accepted. */
export interface Applied {
  index: number
  result: string
}

/** Who founds the quorum together; it plays no part once the quorum exists. */
export interface Founding {
  /** This member's own address. */
  self: string
  addresses: readonly string[]
  /** Whether an empty disk means that this is the first start, and not that the disk was lost. */
  mayFound: boolean
}

export type QuorumRole = 'follower' | 'candidate' | 'leader'

export interface QuorumStatus {
  member: string
  incarnation: string
  role: QuorumRole
  term: number
  leader: string | undefined
  lastIndex: number
  commitIndex: number
  snapshotIndex: number
  voters: string[]
  learners: string[]
  /** How far the other members are, as the leader knows; none at other members. */
  replication: MemberProgress[]
}

/** How far a leader has brought another member. */
export interface MemberProgress {
  member: string
  /** The member holds the same entries as the leader up to here. */
  matchIndex: number
  /** Entries of the leader's log that the member is not known to hold. */
  behind: number
  /** Time since the latest request that the member answered was sent, in ms; null if it has answered none in this term. */
  answeredMs: number | null
  /** For how long the member has been behind without being brought further, in ms; 0 if it is not behind. */
  stalledMs: number
}

export interface QuorumTiming {
  heartbeatMs: number
  /** An election starts after between one and two times this without word from a leader. */
  electionMs: number
  /**
   * Until a leader or an election with effect has been seen after a start, elections come after this share of the
   * usual time: when all members start at once nobody leads, and where somebody does, the prevote keeps it.
   */
  firstElectionShare: number
  /** How long a request to a peer may take. */
  callMs: number
}

export const DEFAULT_QUORUM_TIMING: QuorumTiming = { heartbeatMs: 100, electionMs: 500, firstElectionShare: 1, callMs: 1000 }
