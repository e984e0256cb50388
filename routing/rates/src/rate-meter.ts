/** Applies an endpoint's advertised limit in a process that sends all of the endpoint's requests, so that the limit is not shared. */
import { createRateBound, type RateBound } from './rate-bound.ts'
import { SendLog } from './send-log.ts'

/** The endpoint's clock may run faster than the local clock by this fraction. */
const CLOCK_MARGIN = 0.025
/** The minimum time that sent requests are kept, in ms: a lowered limit may have a longer window. */
const MIN_KEEP_MS = 12_000

export class RateMeter {
  private log = new SendLog()
  private bound: RateBound | undefined
  /** The advertised limit in requests per second; undefined if there is none. */
  perSecond: number | undefined

  /**
   * Sets the limit in requests per second, or removes it. Requests sent before the first limit do not count: otherwise the
   * endpoint might receive no requests for a whole window.
   * @returns true if the limit changed
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

  /** The number of requests that may be sent now; `Infinity` without a limit. */
  remaining (now: number): number {
    return this.bound === undefined ? Infinity : this.log.remaining(this.bound, now)
  }

  /** The number of requests per window; `Infinity` without a limit. */
  get maxRequests (): number {
    return this.bound?.requests ?? Infinity
  }

  /** The time in ms until a request may be sent; 0 if one may be sent now. */
  waitMs (now: number): number {
    return this.bound === undefined || this.remaining(now) > 0 ? 0 : this.log.waitMs(this.bound, now)
  }

  /** Records a request that is sent now. */
  recordSent (now: number): void {
    if (this.bound === undefined) return
    this.log.dropBefore(now - Math.max(MIN_KEEP_MS, this.bound.windowMs))
    this.log.add(1, now)
  }
}
