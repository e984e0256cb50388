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
export const IDLE_MS = 10_000

/** Leave for one request. */
export interface Permit {
  /** The endpoint has begun to answer it, and did not turn it away. */
  answered: () => void
  /** The attempt has ended, in whatever way. */
  released: () => void
}

/** Leave for a request at an endpoint that has asked for nothing. */
export const OPEN_PERMIT: Permit = { answered: () => {}, released: () => {} }

export class Backoff {
  /** When the time is over, by the monotonic clock. */
  until = -Infinity
  /** Whether the end of its time has been told. */
  hasEnded = false
  private window = FIRST_WINDOW
  private readonly unanswered = new Set<Permit>()

  /** Takes what the endpoint asks for; a shorter time does not take back a longer one. Gives whether it had not asked before. */
  extend (ms: number, now: number): boolean {
    const isNew = now >= this.until
    this.until = Math.max(this.until, now + ms)
    this.hasEnded = false
    this.window = FIRST_WINDOW
    // What was under way when it asked tells nothing of the time after its rest.
    this.unanswered.clear()
    return isNew
  }

  remainingMs (now: number): number {
    return Math.max(0, this.until - now)
  }

  /** How many requests may be sent now. */
  room (now: number): number {
    return now < this.until ? 0 : Math.max(0, this.window - this.unanswered.size)
  }

  /** Whether all may come again. */
  isOver (now: number): boolean {
    if (now < this.until) return false
    return this.window >= LAST_WINDOW || (this.unanswered.size === 0 && now - this.until >= IDLE_MS)
  }

  /** Gives leave for one request, if there is room. */
  acquire (now: number): Permit | undefined {
    if (this.room(now) === 0) return undefined
    const permit: Permit = {
      answered: () => {
        if (this.unanswered.delete(permit)) this.window = Math.min(LAST_WINDOW, 2 * this.window)
      },
      released: () => { this.unanswered.delete(permit) }
    }
    this.unanswered.add(permit)
    return permit
  }
}
