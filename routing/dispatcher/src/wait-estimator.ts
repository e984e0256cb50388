/**
 * Estimates how long a request will wait, from the grants and arrivals of the last seconds. The dispatcher refuses a request at
 * once if it can't be served within its maximum wait.
 */
import { type Tier } from '@gullwall/core.types'

const BUCKET_MS = 250
const BUCKETS = 8
/** With fewer grants in the window there is no estimate. */
const MIN_GRANTS = 10

/** Counts events by tier in a sliding window. */
class EventWindow {
  private readonly buckets = new Map<number, Map<Tier, number>>()
  private current = 0

  add (tier: Tier, now: number): void {
    const bucket = this.openBucket(now)
    bucket.set(tier, (bucket.get(tier) ?? 0) + 1)
  }

  sum (now: number, includesTier: (tier: Tier) => boolean): number {
    this.openBucket(now)
    let total = 0
    for (const bucket of this.buckets.values()) {
      for (const [tier, amount] of bucket) {
        if (includesTier(tier)) total += amount
      }
    }
    return total
  }

  /** Returns the current bucket, and drops the buckets that have left the window. */
  private openBucket (now: number): Map<Tier, number> {
    const number = Math.floor(now / BUCKET_MS)
    if (number !== this.current) {
      this.current = number
      for (const other of this.buckets.keys()) {
        if (number - other >= BUCKETS) this.buckets.delete(other)
      }
    }
    let bucket = this.buckets.get(number)
    if (bucket === undefined) {
      bucket = new Map()
      this.buckets.set(number, bucket)
    }
    return bucket
  }
}

export class WaitEstimator {
  private readonly grants = new EventWindow()
  private readonly arrivals = new EventWindow()

  recordArrival (tier: Tier, now: number): void {
    this.arrivals.add(tier, now)
  }

  recordGrant (tier: Tier, now: number): void {
    this.grants.add(tier, now)
  }

  /**
   * Estimates the wait of a request behind `ahead` requests of the same or a higher tier, in ms. Arriving requests of higher
   * tiers are assumed to be granted first, except for the `floor` that the request's class is guaranteed.
   * @returns undefined if there were too few grants
   */
  estimateMs (tier: Tier, floor: number, ahead: number, now: number): number | undefined {
    const granted = this.grants.sum(now, () => true)
    if (granted < MIN_GRANTS) return undefined
    const higher = this.arrivals.sum(now, (other) => other < tier)
    const available = Math.max(granted - higher, granted * floor, 1)
    return (ahead + 1) / available * BUCKETS * BUCKET_MS
  }
}
