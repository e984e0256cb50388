/**
 * Decides which new connections are closed before anything is read from them. A balancer may send most new connections to one process,
 * which then has more work than processor time. A caller whose connection is closed unread opens another one, probably at another process;
 * a request that is read here would only wait.
 */

/** Interval at which the use of the event loop is measured, in ms. A shorter pause, such as a garbage collection, is no overload. */
export const WINDOW_MS = 500
/**
 * Share of a window without a pause for new events from which the process is overloaded. Timers are not late then, since connections
 * that are not accepted yet wait in the kernel.
 */
const OVERLOADED_UTILIZATION = 0.98
/** Share up to which there is time for more connections. */
const SPARE_UTILIZATION = 0.9
/** Steps by which the share of closed connections changes at the end of a window. It rises fast, since requests time out meanwhile. */
const RISE = 0.25
const FALL = 0.1
/** Some connections are always accepted, so that the process is never taken for one that accepts none. */
const MAX_SHARE = 0.85

export class ConnectionShedder {
  /** Number of connections that were closed unread since the start. */
  closedCount = 0
  private closedShare = 0
  /** Sum of the shares of the connections so far; a connection is closed whenever it reaches 1. */
  private due = 0

  /** The share of new connections that is closed at present, from 0 to 1. */
  get share (): number {
    return this.closedShare
  }

  /** Records the share of a window in which the event loop was busy, from 0 to 1. */
  recordUtilization (utilization: number): void {
    if (utilization >= OVERLOADED_UTILIZATION) this.closedShare = Math.min(MAX_SHARE, this.closedShare + RISE)
    else if (utilization < SPARE_UTILIZATION) this.closedShare = Math.max(0, this.closedShare - FALL)
  }

  /** Whether a new connection is closed unread. Closed ones are spread evenly among the others. */
  shouldClose (): boolean {
    if (this.closedShare === 0) return false
    this.due += this.closedShare
    if (this.due < 1) return false
    this.due -= 1
    this.closedCount += 1
    return true
  }
}
