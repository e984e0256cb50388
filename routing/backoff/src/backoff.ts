/**
 * The backoff that one endpoint requested, followed by a slow start. No request is sent during the backoff. Afterwards a window
 * limits the requests that wait for a first byte. The window starts at one request and doubles with each accepted request.
 * Without the slow start, the requests queued on all boxes would reach a recently overloaded endpoint at the same moment.
 */

/** The window right after the backoff, in requests without a response. */
const INITIAL_WINDOW = 1
/** At this window the slow start ends: the endpoint has accepted 1, 2, 4 and 8 concurrent requests. */
const FINAL_WINDOW = 16
/** The slow start also ends if no request is pending this long after the backoff, in ms: queued requests are gone by then. */
export const IDLE_RESET_MS = 10_000

/** Permission to send one request to an endpoint. */
export interface BackoffPermit {
  /** Records that the endpoint accepted the request and has begun to respond. */
  recordResponse: () => void
  /** Records that the attempt has ended, whatever its result. */
  release: () => void
}

/** The permit for an endpoint without a backoff. */
export const UNRESTRICTED_PERMIT: BackoffPermit = { recordResponse: () => {}, release: () => {} }

/** The backoff and slow start of one endpoint. All times are in ms of the monotonic clock. */
export class Backoff {
  /** The end of the backoff. */
  endsAt = -Infinity
  /** Whether the end of the backoff has been reported. */
  isEndReported = false
  private window = INITIAL_WINDOW
  private readonly unanswered = new Set<BackoffPermit>()

  /**
   * Starts or extends the backoff and restarts the slow start. The backoff is never shortened.
   * @returns true if no backoff was active
   */
  extend (ms: number, now: number): boolean {
    const isNew = now >= this.endsAt
    this.endsAt = Math.max(this.endsAt, now + ms)
    this.isEndReported = false
    this.window = INITIAL_WINDOW
    // Requests sent before the backoff must not widen the window after it.
    this.unanswered.clear()
    return isNew
  }

  remainingMs (now: number): number {
    return Math.max(0, this.endsAt - now)
  }

  /** The number of requests that may be sent now. */
  availablePermits (now: number): number {
    return now < this.endsAt ? 0 : Math.max(0, this.window - this.unanswered.size)
  }

  /** Whether backoff and slow start have ended, so that requests are no longer limited. */
  isFinished (now: number): boolean {
    if (now < this.endsAt) return false
    return this.window >= FINAL_WINDOW || (this.unanswered.size === 0 && now - this.endsAt >= IDLE_RESET_MS)
  }

  /** Returns a permit for one request, or undefined if none may be sent now. */
  acquire (now: number): BackoffPermit | undefined {
    if (this.availablePermits(now) === 0) return undefined
    const permit: BackoffPermit = {
      recordResponse: () => {
        if (this.unanswered.delete(permit)) this.window = Math.min(FINAL_WINDOW, 2 * this.window)
      },
      release: () => { this.unanswered.delete(permit) }
    }
    this.unanswered.add(permit)
    return permit
  }
}
