/** How many calls a duty makes: a bounded rate, and pauses that grow while calls fail. The time is an argument. */

/** The share of the rate that one duty uses: the rest is for the other duties and for a former holder's last calls. */
const SHARE = 0.5
/** So much may be saved up, in s. */
const SAVED_S = 0.5
/** The first pause after a call that failed, doubled each time, with jitter. In ms. */
const FIRST_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 5000
const MS_PER_S = 1000

export class CallRateLimiter {
  private readonly perMs: number
  private readonly most: number
  private saved: number
  private savedAt = -Infinity
  private backoffMs = FIRST_BACKOFF_MS
  private nextTryAt = -Infinity

  /** @param callsPerSecond what the outside takes from all duties together */
  constructor (callsPerSecond: number, private readonly random: () => number = Math.random) {
    this.perMs = SHARE * callsPerSecond / MS_PER_S
    this.most = Math.max(1, SHARE * callsPerSecond * SAVED_S)
    this.saved = this.most
  }

  /** Whether the pause after a failure is over. */
  isBackoffOver (now: number): boolean {
    return now >= this.nextTryAt
  }

  canCall (now: number): boolean {
    return this.isBackoffOver(now) && this.savedBy(now) >= 1
  }

  recordCall (now: number): void {
    this.saved = this.savedBy(now) - 1
    this.savedAt = now
  }

  recordSuccess (): void {
    this.backoffMs = FIRST_BACKOFF_MS
  }

  /** @param leastMs for how long the outside has asked for no more calls */
  backOff (now: number, leastMs = 0): void {
    this.nextTryAt = now + Math.max(leastMs, this.backoffMs * (0.5 + this.random()))
    this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.backoffMs)
  }

  private savedBy (now: number): number {
    return Math.min(this.most, this.saved + (now - this.savedAt) * this.perMs)
  }
}
