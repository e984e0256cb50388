/** Limits the calls of one reporting or scaling task by a token bucket, and by a growing backoff while calls fail. Time is an argument. */

/** Share of the allowed rate that one task uses. Other tasks and the last calls of a previous lease holder use the remaining share. */
const RATE_SHARE = 0.5
/** Capacity of the token bucket, in seconds of the rate. */
const BURST_S = 0.5
/** Backoff after the first failed call, in ms. The backoff doubles with each further failure and has jitter. */
const FIRST_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 5000
const MS_PER_S = 1000

export class CallRateLimiter {
  private readonly callsPerMs: number
  private readonly capacity: number
  private tokens: number
  private updatedAt = -Infinity
  private backoffMs = FIRST_BACKOFF_MS
  private retryAt = -Infinity

  /** @param callsPerSecond limit of the external system for the calls of all tasks together */
  constructor (callsPerSecond: number, private readonly random: () => number = Math.random) {
    this.callsPerMs = RATE_SHARE * callsPerSecond / MS_PER_S
    this.capacity = Math.max(1, RATE_SHARE * callsPerSecond * BURST_S)
    this.tokens = this.capacity
  }

  /** Whether the backoff after a failure is over. */
  isBackoffOver (now: number): boolean {
    return now >= this.retryAt
  }

  canCall (now: number): boolean {
    return this.isBackoffOver(now) && this.tokensAt(now) >= 1
  }

  recordCall (now: number): void {
    this.tokens = this.tokensAt(now) - 1
    this.updatedAt = now
  }

  recordSuccess (): void {
    this.backoffMs = FIRST_BACKOFF_MS
  }

  /** @param leastMs shortest backoff, as requested by the external system, in ms */
  backOff (now: number, leastMs = 0): void {
    this.retryAt = now + Math.max(leastMs, this.backoffMs * (0.5 + this.random()))
    this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.backoffMs)
  }

  private tokensAt (now: number): number {
    return Math.min(this.capacity, this.tokens + (now - this.updatedAt) * this.callsPerMs)
  }
}
