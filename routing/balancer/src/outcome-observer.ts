/**
 * The share of attempts that an endpoint took and failed. It answers engines that fail a part of their requests while they
 * say that they are well: each of many entries meets such an engine too rarely to know it (28 entries before 36 engines: once
 * in seven seconds), so that entries tell control how their attempts ended and learn the share of all.
 */

/** What one attempt counts for: the share follows some 20 attempts, three seconds of an engine that the users' fleets load. */
const OUTCOME_WEIGHT = 0.05
/** Without news the share is halved in this time, in ms: an endpoint that is avoided tells nothing, and may be well again. */
const HALF_LIFE_MS = 5000
/** Up to this share an endpoint is ordinary: plain services fail some of their calls, and chance moves the share by as much. */
const ORDINARY_SHARE = 0.1

/** How attempts ended. */
export interface Outcomes {
  good: number
  failed: number
}

export class OutcomeObserver {
  private share = 0
  private learntAt = -Infinity
  private seen: Outcomes = { good: 0, failed: 0 }

  /** Notes how an own attempt ended; it counts once all have told. */
  record (isGood: boolean): void {
    if (isGood) this.seen.good += 1
    else this.seen.failed += 1
  }

  /** Whether something was seen that has not been told. */
  get hasObservations (): boolean {
    return this.seen.good + this.seen.failed > 0
  }

  /** What was seen since the last call. */
  takeObservations (): Outcomes {
    const { seen } = this
    this.seen = { good: 0, failed: 0 }
    return seen
  }

  /** Learns from what an entry told. */
  learn ({ good, failed }: Outcomes, now: number): void {
    const attempts = good + failed
    if (attempts === 0) return
    const weight = 1 - (1 - OUTCOME_WEIGHT) ** attempts
    this.adopt(this.failureShareAt(now) + weight * (failed / attempts - this.failureShareAt(now)), now)
  }

  /** Takes the share that was learnt from what all told. */
  adopt (share: number, now: number): void {
    this.share = share
    this.learntAt = now
  }

  /** The share of attempts that failed lately; 0 where nothing is known. */
  failureShareAt (now: number): number {
    return this.share === 0 ? 0 : this.share * 0.5 ** ((now - this.learntAt) / HALF_LIFE_MS)
  }

  /** By how much it is beyond what is ordinary. */
  excessFailureShareAt (now: number): number {
    return Math.max(0, this.failureShareAt(now) - ORDINARY_SHARE)
  }
}
