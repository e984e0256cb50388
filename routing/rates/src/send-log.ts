/** What was sent to one endpoint, or granted to be sent, and how much of a bound is left. */
import { type RateBound } from './rate-bound.ts'

/** Within this part of a bound's window the same part of its requests is sent, so that an endpoint has its work evenly. */
const PACED_SHARE = 0.5

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
  forgetBefore (at: number): void {
    const [first] = this.sent
    if (first !== undefined && first.at < at) this.sent = this.sent.filter((entry) => entry.at >= at)
  }

  /** How many more may be sent now, over the whole window and over its latest part. */
  free ({ requests, windowMs }: RateBound, now: number): number {
    const paced = Math.ceil(PACED_SHARE * requests)
    return Math.max(0, Math.min(requests - this.since(now - windowMs), paced - this.since(now - PACED_SHARE * windowMs)))
  }

  /** When what was sent next ceases to count, in ms from now; the whole window where nothing does. */
  untilFree ({ windowMs }: RateBound, now: number): number {
    const waits = this.sent.flatMap(({ at }) => [at + PACED_SHARE * windowMs - now, at + windowMs - now])
    return Math.min(windowMs, ...waits.filter((ms) => ms > 0))
  }

  private since (at: number): number {
    return this.sent.reduce((sum, entry) => entry.at >= at ? sum + entry.requests : sum, 0)
  }
}
