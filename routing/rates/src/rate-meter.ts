/** The meter of a process that is the only way to an endpoint, so that nobody else shares its limit. */
import { createRateBound, type RateBound } from './rate-bound.ts'
import { SendLog } from './send-log.ts'

/** The endpoint's clock may run by this share faster than the one here. */
const CLOCK_MARGIN = 0.025
/** For so long a request is kept, in ms: a limit that is lowered may have a longer window. */
const KEPT_MS = 12_000

export class RateMeter {
  private log = new SendLog()
  private bound: RateBound | undefined
  /** What the endpoint named last, in requests a second. */
  perSecond: number | undefined

  /**
   * Takes the endpoint's word: requests a second, or none. Gives whether that is news. What was sent before it named a limit is not
   * held against it: it would be sent nothing for a window just then.
   */
  setLimit (perSecond: number | undefined): boolean {
    if (perSecond === this.perSecond) return false
    if (this.perSecond === undefined) this.log = new SendLog()
    this.perSecond = perSecond
    const bound = perSecond === undefined ? undefined : createRateBound(perSecond)
    this.bound = bound === undefined ? undefined : { ...bound, windowMs: bound.windowMs * (1 + CLOCK_MARGIN) }
    return true
  }

  get isLimited (): boolean {
    return this.bound !== undefined
  }

  /** How many requests may be sent now; no bound where the endpoint named none. */
  remaining (now: number): number {
    return this.bound === undefined ? Infinity : this.log.remaining(this.bound, now)
  }

  /** The whole bound; no bound where the endpoint named none. */
  get maxRequests (): number {
    return this.bound?.requests ?? Infinity
  }

  /** After which time more may be sent, in ms; 0 where some may be sent now. */
  waitMs (now: number): number {
    return this.bound === undefined || this.remaining(now) > 0 ? 0 : this.log.waitMs(this.bound, now)
  }

  /** Notes a request that is sent now. */
  recordSent (now: number): void {
    if (this.bound === undefined) return
    this.log.dropBefore(now - Math.max(KEPT_MS, this.bound.windowMs))
    this.log.add(1, now)
  }
}
