/** The requests that were sent to one endpoint, or granted, and the requests that remain under a bound. */
import { computeSegmentLimit, type RateBound } from './rate-bound.ts'

interface SendEntry {
  at: number
  requests: number
}

/** All times are in ms of one monotonic clock. */
export class SendLog {
  /** Oldest first. */
  private entries: SendEntry[] = []

  add (requests: number, now: number): void {
    this.entries.push({ at: now, requests })
  }

  /** Drops the entries from before `at`, which must be older than the longest window still in use. */
  dropBefore (at: number): void {
    const [first] = this.entries
    if (first !== undefined && first.at < at) this.entries = this.entries.filter((entry) => entry.at >= at)
  }

  /**
   * Counts the requests that another sender may have sent under the bound until the time `until`, at the latest times that the
   * bound allows. No window that ends later contains more of the other sender's requests than are counted here.
   */
  assumeFullUse (bound: RateBound, until: number): void {
    const assumed: SendEntry[] = []
    for (let segment = 0, uncounted = bound.requests; uncounted > 0; segment += 1) {
      const requests = Math.min(uncounted, computeSegmentLimit(bound))
      assumed.unshift({ at: until - segment * bound.windowMs / bound.segments, requests })
      uncounted -= requests
    }
    this.entries = [...assumed, ...this.entries].sort((left, right) => left.at - right.at)
  }

  /** The number of requests that may be sent now, limited by the whole window and by its latest segment. */
  remaining (bound: RateBound, now: number): number {
    const { requests, windowMs, segments } = bound
    return Math.max(0, Math.min(
      requests - this.countSince(now - windowMs), computeSegmentLimit(bound) - this.countSince(now - windowMs / segments)
    ))
  }

  /** The time in ms until the next entry leaves the latest segment or the window; the window's length if there is none. */
  waitMs ({ windowMs, segments }: RateBound, now: number): number {
    const waits = this.entries.flatMap(({ at }) => [at + windowMs / segments - now, at + windowMs - now])
    return Math.min(windowMs, ...waits.filter((ms) => ms > 0))
  }

  private countSince (at: number): number {
    return this.entries.reduce((sum, entry) => entry.at >= at ? sum + entry.requests : sum, 0)
  }
}
