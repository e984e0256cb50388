/**
 * The lease under which one control process acts for the deployment towards the outside. The leader of the quorum holds it:
 * there is one leader in each term, terms are on the disks of a majority before they are used, and they never repeat. So the
 * term is the fencing token.
 */

import { suspensions } from '@gullwall/core.clock'

/** What a holder shows with each act; a higher token replaces all lower ones. */
export interface AcquiredLease {
  token: number
  /** Until when the holder may begin to act, by the monotonic clock. */
  validUntil: number
  /** For how long this process had been suspended when it asked for the fence, in ms; what it sleeps since counts against it. */
  suspendedMsAtAcquire: number
}

export interface LeaderLeaseOptions {
  /** No other process acts within this time after the latest moment at which this one may have begun to act, in ms. */
  leaseMs: number
  /** The term in which this process leads; undefined while it does not. */
  leadingTerm: () => number | undefined
  /** Resolves once a majority has answered that this process still leads, to questions asked after the call. */
  confirmLeadership: () => Promise<unknown>
  now?: () => number
  /** For how long this process has been suspended so far, in ms. */
  suspendedMs?: () => number
}

/**
 * The share of the lease in which the holder acts after a majority has confirmed it. The rest is the margin: the next leader
 * is elected after that confirmation at the earliest, and then waits for the whole lease.
 */
const ACTING_SHARE = 0.5

export class LeaderLease {
  private term: number | undefined
  private ledSince = -Infinity
  /** The token that the outside has refused because it has seen a higher one. */
  private refusedToken: number | undefined
  private readonly now: () => number
  private readonly slept: () => number

  constructor (private readonly options: LeaderLeaseOptions) {
    this.now = options.now ?? (() => performance.now())
    this.slept = options.suspendedMs ?? (() => suspensions.suspendedMs())
  }

  /** Gives the fence under which this process may act now; undefined while it may not. */
  async acquire (): Promise<AcquiredLease | undefined> {
    const { leaseMs, confirmLeadership } = this.options
    const token = this.observeTerm()
    if (token === undefined || token === this.refusedToken) return undefined
    // The leader before may have been confirmed until just before this one was elected.
    if (this.now() - this.ledSince < leaseMs) return undefined
    const askedAt = this.now()
    const sleptMs = this.slept()
    try {
      await confirmLeadership()
    } catch {
      // Not confirmed is the ordinary answer to a leader that is cut off; it may not act.
      return undefined
    }
    if (this.observeTerm() !== token) return undefined
    return { token, validUntil: askedAt + ACTING_SHARE * leaseMs, suspendedMsAtAcquire: sleptMs }
  }

  isValid ({ token, validUntil, suspendedMsAtAcquire }: AcquiredLease): boolean {
    const now = this.now() + this.slept() - suspendedMsAtAcquire
    return this.observeTerm() === token && token !== this.refusedToken && now < validUntil
  }

  /** Notes that a higher token was seen outside: this term acts no more. */
  recordRefusedToken (token: number): void {
    this.refusedToken = token
  }

  /** Gives the term in which this process leads, and notes when it began to; the sooner it is asked, the sooner the wait is over. */
  observeTerm (): number | undefined {
    const term = this.options.leadingTerm()
    if (term !== this.term) {
      this.term = term
      this.ledSince = this.now()
    }
    return term
  }
}
