/**
 * Estimates the share of accepted attempts that fail at an endpoint. It detects engines that fail some requests although their health
 * checks pass. A single entry uses such an engine too rarely to notice (once in seven seconds with 28 entries and 36 engines).
 * Entries therefore report the outcomes of their attempts to control, and get back the share over all entries.
 */

/** The weight of one attempt in the share, which covers about the latest 20 attempts. */
const OUTCOME_WEIGHT = 0.05
/** Without new outcomes, the share halves in this time, in ms: an endpoint that is avoided may have recovered. */
const HALF_LIFE_MS = 5000
/** Failures up to this share are ignored: services fail some of their calls, and the estimate varies by chance. */
const ORDINARY_SHARE = 0.1

/** The number of attempts by outcome. */
export interface Outcomes {
  good: number
  failed: number
}

export class OutcomeObserver {
  private share = 0
  private updatedAt = -Infinity
  private outcomes: Outcomes = { good: 0, failed: 0 }

  /** Records the outcome of an attempt of this entry. It affects the share only through the reports to control. */
  record (isGood: boolean): void {
    if (isGood) this.outcomes.good += 1
    else this.outcomes.failed += 1
  }

  /** Whether there are outcomes that have not been reported. */
  get hasObservations (): boolean {
    return this.outcomes.good + this.outcomes.failed > 0
  }

  /** Returns the outcomes since the last call. */
  takeObservations (): Outcomes {
    const { outcomes } = this
    this.outcomes = { good: 0, failed: 0 }
    return outcomes
  }

  /** Updates the share from the outcomes that an entry reported. */
  learn ({ good, failed }: Outcomes, now: number): void {
    const attempts = good + failed
    if (attempts === 0) return
    const weight = 1 - (1 - OUTCOME_WEIGHT) ** attempts
    this.adopt(this.failureShareAt(now) + weight * (failed / attempts - this.failureShareAt(now)), now)
  }

  /** Replaces the share by that over all entries. */
  adopt (share: number, now: number): void {
    this.share = share
    this.updatedAt = now
  }

  /** Returns the share of recent attempts that failed; 0 if nothing is known. */
  failureShareAt (now: number): number {
    return this.share === 0 ? 0 : this.share * 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS)
  }

  /** Returns the part of the share above the ordinary one. */
  excessFailureShareAt (now: number): number {
    return Math.max(0, this.failureShareAt(now) - ORDINARY_SHARE)
  }
}
