/** What was sent to one endpoint, or granted to be sent, and how much of a bound is left. */
import { computeSegmentLimit, type RateBound } from './rate-bound.ts'

interface Sent {
  at: number
  requests: number
}

export class SendLog {
  /** Oldest first. */
  private sent: Sent[] = []

  add (requests: number, now: number): void {
    this.sent.push({ at: now, requests })
  }

  /** Forgets what is older than the longest window that is still asked about. */
  dropBefore (at: number): void {
    const [first] = this.sent
    if (first !== undefined && first.at < at) this.sent = this.sent.filter((entry) => entry.at >= at)
  }

  /**
   * Counts as much as somebody else may have sent within the bound until a time, as late as it may have been: whatever was sent in
   * truth, no window that ends later holds more of it.
   */
  assumeFullUse (bound: RateBound, until: number): void {
    const assumed: Sent[] = []
    for (let part = 0, left = bound.requests; left > 0; part += 1) {
      const requests = Math.min(left, computeSegmentLimit(bound))
      assumed.unshift({ at: until - part * bound.windowMs / bound.segments, requests })
      left -= requests
    }
    this.sent = [...assumed, ...this.sent].sort((left, right) => left.at - right.at)
  }

  /** How many more may be sent now, over the whole window and over its latest part. */
  remaining (bound: RateBound, now: number): number {
    const { requests, windowMs, segments } = bound
    return Math.max(0, Math.min(requests - this.since(now - windowMs), computeSegmentLimit(bound) - this.since(now - windowMs / segments)))
  }

  /** When what was sent next ceases to count, in ms from now; the whole window where nothing does. */
  waitMs ({ windowMs, segments }: RateBound, now: number): number {
    const waits = this.sent.flatMap(({ at }) => [at + windowMs / segments - now, at + windowMs - now])
    return Math.min(windowMs, ...waits.filter((ms) => ms > 0))
  }

  private since (at: number): number {
    return this.sent.reduce((sum, entry) => entry.at >= at ? sum + entry.requests : sum, 0)
  }
}
