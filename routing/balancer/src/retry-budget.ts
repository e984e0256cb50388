/**
 * Limits the number of retries to a share of the requests in a sliding window, plus a constant that is divided among the entries
 * of the deployment.
 */

/** Number of buckets in which the requests of a window are counted. */
const BUCKETS = 10
/** Retries that are sent this much farther apart than the window may still arrive within one window, in ms. */
const ARRIVAL_JITTER_MS = 500

export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  ratio: number
  windowMs: number
  /** Retries allowed in each window beyond the ratio, by all entries together. */
  slack: number
  /** Returns the number of entries that share the slack. */
  entryCount: () => number
  now?: () => number
}

/** The share of the budget that is used. The rest is a margin, because the number of entries is known with a delay. */
const USABLE_SHARE = 0.6

interface Bucket {
  slot: number
  requests: number
}

export class RetryBudget {
  private readonly buckets: Bucket[] = []
  /** When each retry was sent that may share a window with the next one, oldest first. */
  private readonly retriesAt: number[] = []
  private readonly now: () => number

  constructor (private readonly options: RetryBudgetOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  recordRequest (): void {
    this.bucket().requests += 1
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryTake (): boolean {
    if (this.remaining < 1) return false
    this.retriesAt.push(this.now())
    return true
  }

  /** The number of retries that may still be sent now. */
  get remaining (): number {
    const { ratio, slack, entryCount } = this.options
    return USABLE_SHARE * (ratio * this.countRequests() + slack / Math.max(1, entryCount())) - this.countRetries()
  }

  private countRequests (): number {
    this.bucket()
    return this.buckets.reduce((total, { requests }) => total + requests, 0)
  }

  private countRetries (): number {
    const { retriesAt, options } = this
    const firstCounted = this.now() - options.windowMs - ARRIVAL_JITTER_MS
    while (retriesAt[0] !== undefined && retriesAt[0] < firstCounted) retriesAt.shift()
    return retriesAt.length
  }

  private bucket (): Bucket {
    const slot = Math.floor(this.now() / (this.options.windowMs / BUCKETS))
    while (this.buckets[0] !== undefined && this.buckets[0].slot <= slot - BUCKETS) this.buckets.shift()
    const last = this.buckets.at(-1)
    if (last?.slot === slot) return last
    const fresh = { slot, requests: 0 }
    this.buckets.push(fresh)
    return fresh
  }
}
