/**
 * The lease under which one control process acts for the deployment towards external systems. The leader of the quorum holds it.
 * Each term has one leader, a majority stores a term before it is used, and terms never repeat. The term therefore serves as the
 * fencing token.
 */

import { suspensions } from '@gullwall/core.clock'

/** An acquired lease. The holder sends the token with each call, and a higher token invalidates all lower ones. */
export interface AcquiredLease {
  token: number
  /** Time until which the holder may start a call, by the monotonic clock. */
  validUntil: number
  /** Total time that this process had been suspended when it requested the lease, in ms. Later suspensions shorten the validity. */
  suspendedMsAtAcquire: number
}

export interface LeaderLeaseOptions {
  /** Time between the last possible start of a call by one holder and the first call by the next holder, in ms. */
  leaseMs: number
  /** The term in which this process leads; undefined while it does not. */
  leadingTerm: () => number | undefined
  /** Asks a majority whether this process still leads. Resolves once the majority has confirmed it after the call. */
  confirmLeadership: () => Promise<unknown>
  now?: () => number
  /** Returns the total time that this process has been suspended, in ms. */
  suspendedMs?: () => number
}

/**
 * The share of the lease time during which the holder may act after it requested the confirmation. The remaining time is a safety
 * margin: the next leader is elected after that confirmation at the earliest, and then waits for the whole lease time.
 */
const ACTING_SHARE = 0.5

export class LeaderLease {
  private term: number | undefined
  private ledSince = -Infinity
  /** The token that an external system has refused because it received a higher one. */
  private refusedToken: number | undefined
  private readonly now: () => number
  private readonly suspendedMs: () => number

  constructor (private readonly options: LeaderLeaseOptions) {
    this.now = options.now ?? (() => performance.now())
    this.suspendedMs = options.suspendedMs ?? (() => suspensions.suspendedMs())
  }

  /** Acquires the lease. Returns undefined while this process may not act. */
  async acquire (): Promise<AcquiredLease | undefined> {
    const { leaseMs, confirmLeadership } = this.options
    const token = this.observeTerm()
    if (token === undefined || token === this.refusedToken) return undefined
    // The previous leader may have been confirmed until just before this process was elected.
    if (this.now() - this.ledSince < leaseMs) return undefined
    const requestedAt = this.now()
    const suspendedMsAtAcquire = this.suspendedMs()
    try {
      await confirmLeadership()
    } catch {
      // A leader that is cut off from the majority gets no confirmation and may not act.
      return undefined
    }
    if (this.observeTerm() !== token) return undefined
    return { token, validUntil: requestedAt + ACTING_SHARE * leaseMs, suspendedMsAtAcquire }
  }

  isValid ({ token, validUntil, suspendedMsAtAcquire }: AcquiredLease): boolean {
    const now = this.now() + this.suspendedMs() - suspendedMsAtAcquire
    return this.observeTerm() === token && token !== this.refusedToken && now < validUntil
  }

  /** Records that an external system refused the token, so that this process does not act again in this term. */
  recordRefusedToken (token: number): void {
    this.refusedToken = token
  }

  /** Returns the term in which this process leads, and records its start. Frequent calls record the start with less delay. */
  observeTerm (): number | undefined {
    const term = this.options.leadingTerm()
    if (term !== this.term) {
      this.term = term
      this.ledSince = this.now()
    }
    return term
  }
}
