/**
 * Recognises callers that have come back after a refusal. They state a shorter time limit than others on their route, since they have
 * waited for `Retry-After` in between.
 */

/** A returning caller's time limit is at least this much below the longest one of its route, in ms: half of the shortest `Retry-After`. */
const RETURNED_AFTER_MS = 150
/** A time limit counts for one to two of these periods, in ms, so that a single long one does not count forever. */
const PERIOD_MS = 30_000
/** The most routes to store, since route names change with documents; the oldest route is removed first. */
const MAX_ROUTES = 5000

/** The longest time limits of a route in the current period and in the one before, in ms. */
interface LongestLimits {
  period: number
  currentMs: number
  previousMs: number
}

export class ReturningCallers {
  private readonly limits = new Map<string, LongestLimits>()

  constructor (private readonly now: () => number = () => performance.now()) {}

  /**
   * Records a request of a route and returns whether its caller has come back.
   * @param waitMs the time that the caller is going to wait; undefined if it states none
   */
  record (route: string, waitMs: number | undefined): boolean {
    if (waitMs === undefined) return false
    const limits = this.limitsOf(route)
    limits.currentMs = Math.max(limits.currentMs, waitMs)
    return waitMs <= Math.max(limits.currentMs, limits.previousMs) - RETURNED_AFTER_MS
  }

  private limitsOf (route: string): LongestLimits {
    const period = Math.floor(this.now() / PERIOD_MS)
    const known = this.limits.get(route)
    if (known?.period === period) return known
    const previousMs = known?.period === period - 1 ? known.currentMs : 0
    const limits = { period, currentMs: 0, previousMs }
    this.limits.set(route, limits)
    const [oldest] = this.limits.keys()
    if (this.limits.size > MAX_ROUTES && oldest !== undefined) this.limits.delete(oldest)
    return limits
  }
}
