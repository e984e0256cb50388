/**
 * Bounds how many sends may be repeats: a share of the requests in a sliding
 * window, and a slack that the entries of the deployment divide among themselves.
 */

const BUCKETS = 10

export interface RetryBudgetOptions {
  /** Repeats allowed for each request. */
  ratio: number
  windowMs: number
  /** Repeats allowed beyond the ratio, over all entries together. */
  slack: number
  /** How many entries share the slack. */
  entryCount: () => number
  now?: () => number
}

/** What is kept free, since entries come and go and the count of them is late. */
const SAFETY = 0.6

interface Bucket {
  slot: number
  requests: number
  repeats: number
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

  /** Takes one repeat from the budget; false if there is none left. */
  tryTake (): boolean {
    if (this.remaining < 1) return false
    this.bucket().repeats += 1
    return true
  }

  /** How many repeats may still be sent now. */
  get remaining (): number {
    this.bucket()
    const requests = sum(this.buckets, (bucket) => bucket.requests)
    const repeats = sum(this.buckets, (bucket) => bucket.repeats)
    const { ratio, slack, entryCount } = this.options
    return SAFETY * (ratio * requests + slack / Math.max(1, entryCount())) - repeats
  }

  private bucket (): Bucket {
    const slot = Math.floor(this.now() / (this.options.windowMs / BUCKETS))
    while (this.buckets[0] !== undefined && this.buckets[0].slot <= slot - BUCKETS) this.buckets.shift()
    const last = this.buckets.at(-1)
    if (last?.slot === slot) return last
    const fresh = { slot, requests: 0, repeats: 0 }
    this.buckets.push(fresh)
    return fresh
  }
}

function sum (buckets: readonly Bucket[], of: (bucket: Bucket) => number): number {
  return buckets.reduce((total, bucket) => total + of(bucket), 0)
}
