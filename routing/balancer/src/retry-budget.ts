/**
 * Limits the number of retries to a share of the requests in a sliding window, plus a constant that is divided among the entries
 * of the deployment.
 */

/** The sliding window consists of this many buckets. */
const BUCKETS = 10

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
  retries: number
}

export class RetryBudget {
  private readonly buckets: Bucket[] = []
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
    this.bucket().retries += 1
    return true
  }

  /** The number of retries that may still be sent now. */
  get remaining (): number {
    this.bucket()
    const requests = sum(this.buckets, (bucket) => bucket.requests)
    const retries = sum(this.buckets, (bucket) => bucket.retries)
    const { ratio, slack, entryCount } = this.options
    return USABLE_SHARE * (ratio * requests + slack / Math.max(1, entryCount())) - retries
  }

  private bucket (): Bucket {
    const slot = Math.floor(this.now() / (this.options.windowMs / BUCKETS))
    while (this.buckets[0] !== undefined && this.buckets[0].slot <= slot - BUCKETS) this.buckets.shift()
    const last = this.buckets.at(-1)
    if (last?.slot === slot) return last
    const fresh = { slot, requests: 0, retries: 0 }
    this.buckets.push(fresh)
    return fresh
  }
}

function sum (buckets: readonly Bucket[], of: (bucket: Bucket) => number): number {
  return buckets.reduce((total, bucket) => total + of(bucket), 0)
}
