/**
 * Estimates how long a request will wait, from measured grants and arrivals of
 * the last seconds. Used to refuse early what can't be served in its wait.
 */
import { type Tier } from '@gullwall/core.types'

const BUCKET_MS = 250
const BUCKETS = 8
/** Below so many grants in the window no estimate is given. */
const MIN_GRANTS = 10

/** Counts by tier over a sliding window. */
class RateWindow {
  private readonly buckets = new Map<number, Map<Tier, number>>()
  private current = 0

  add (tier: Tier, now: number): void {
    const bucket = this.bucketAt(now)
    bucket.set(tier, (bucket.get(tier) ?? 0) + 1)
  }

  sum (now: number, wanted: (tier: Tier) => boolean): number {
    this.bucketAt(now)
    let total = 0
    for (const bucket of this.buckets.values()) {
      for (const [tier, amount] of bucket) {
        if (wanted(tier)) total += amount
      }
    }
    return total
  }

  /** Gives the bucket of a time, and drops those that have left the window. */
  private bucketAt (now: number): Map<Tier, number> {
    const number = Math.floor(now / BUCKET_MS)
    if (number !== this.current) {
      this.current = number
      for (const kept of this.buckets.keys()) {
        if (number - kept >= BUCKETS) this.buckets.delete(kept)
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
  private readonly grants = new RateWindow()
  private readonly arrivals = new RateWindow()

  recordArrival (tier: Tier, now: number): void {
    this.arrivals.add(tier, now)
  }

  recordGrant (tier: Tier, now: number): void {
    this.grants.add(tier, now)
  }

  /**
   * The wait of a request behind `ahead` others of its tier or higher, in ms:
   * higher tiers that keep arriving go first, but for the floor.
   * @returns undefined if too little was measured
   */
  estimateMs (tier: Tier, floor: number, ahead: number, now: number): number | undefined {
    const granted = this.grants.sum(now, () => true)
    if (granted < MIN_GRANTS) return undefined
    const higher = this.arrivals.sum(now, (other) => other < tier)
    const left = Math.max(granted - higher, granted * floor, 1)
    return (ahead + 1) / left * BUCKETS * BUCKET_MS
  }
}
