/**
 * One endpoint that asked to be left alone. While the time runs it gets nothing. Afterwards it gets one request, and with each
 * one that it takes the number that may be waiting for its first byte doubles (slow start): what has piled up meanwhile at
 * every box would otherwise arrive in one moment, at an endpoint that was overloaded seconds ago.
 */

/** Requests that may be unanswered at an endpoint right after its rest. */
const FIRST_WINDOW = 1
/** From this window on all may come: the endpoint has taken 1, 2, 4 and 8 at a time. */
const LAST_WINDOW = 16
/** An endpoint that nobody tried for so long after its rest is like any other, in ms: what had piled up has come or gone. */
export const IDLE_RESET_MS = 10_000

/** Leave for one request. */
export interface BackoffPermit {
  /** The endpoint has begun to answer it, and did not turn it away. */
  recordResponse: () => void
  /** The attempt has ended, in whatever way. */
  release: () => void
}

/** Leave for a request at an endpoint that has asked for nothing. */
export const UNRESTRICTED_PERMIT: BackoffPermit = { recordResponse: () => {}, release: () => {} }

export class Backoff {
  /** When the time is over, by the monotonic clock. */
  endsAt = -Infinity
  /** Whether the end of its time has been told. */
  isEndReported = false
  private window = FIRST_WINDOW
  private readonly unanswered = new Set<BackoffPermit>()

  /** Takes what the endpoint asks for; a shorter time does not take back a longer one. Gives whether it had not asked before. */
  extend (ms: number, now: number): boolean {
    const isNew = now >= this.endsAt
    this.endsAt = Math.max(this.endsAt, now + ms)
    this.isEndReported = false
    this.window = FIRST_WINDOW
    // What was under way when it asked tells nothing of the time after its rest.
    this.unanswered.clear()
    return isNew
  }

  remainingMs (now: number): number {
    return Math.max(0, this.endsAt - now)
  }

  /** How many requests may be sent now. */
  availablePermits (now: number): number {
    return now < this.endsAt ? 0 : Math.max(0, this.window - this.unanswered.size)
  }

  /** Whether all may come again. */
  isFinished (now: number): boolean {
    if (now < this.endsAt) return false
    return this.window >= LAST_WINDOW || (this.unanswered.size === 0 && now - this.endsAt >= IDLE_RESET_MS)
  }

  /** Gives leave for one request, if there is room. */
  acquire (now: number): BackoffPermit | undefined {
    if (this.availablePermits(now) === 0) return undefined
    const permit: BackoffPermit = {
      recordResponse: () => {
        if (this.unanswered.delete(permit)) this.window = Math.min(LAST_WINDOW, 2 * this.window)
      },
      release: () => { this.unanswered.delete(permit) }
    }
    this.unanswered.add(permit)
    return permit
  }
}
