/** The meter of a process that is the only way to an endpoint, so that nobody else shares its limit. */
import { boundOfRate, type RateBound } from './rate-bound.ts'
import { SendLog } from './send-log.ts'

/** The endpoint's clock may run by this share faster than the one here. */
const CLOCK_MARGIN = 0.025
/** What is sent before a limit is named counts once it is; so much is kept, in ms. */
const KEPT_MS = 12_000

export class RateMeter {
  private readonly log = new SendLog()
  private bound: RateBound | undefined
  /** What the endpoint named last, in requests a second. */
  perSecond: number | undefined

  /** Takes the endpoint's word: requests a second, or none. Gives whether that is news. */
  limit (perSecond: number | undefined): boolean {
    if (perSecond === this.perSecond) return false
    this.perSecond = perSecond
    const bound = perSecond === undefined ? undefined : boundOfRate(perSecond)
    this.bound = bound === undefined ? undefined : { ...bound, windowMs: bound.windowMs * (1 + CLOCK_MARGIN) }
    return true
  }

  get isLimited (): boolean {
    return this.bound !== undefined
  }

  /** How many requests may be sent now; no bound where the endpoint named none. */
  free (now: number): number {
    return this.bound === undefined ? Infinity : this.log.free(this.bound, now)
  }

  /** The whole bound; no bound where the endpoint named none. */
  get most (): number {
    return this.bound?.requests ?? Infinity
  }

  /** After which time more may be sent, in ms; 0 where some may be sent now. */
  waitMs (now: number): number {
    return this.bound === undefined || this.free(now) > 0 ? 0 : this.log.untilFree(this.bound, now)
  }

  /** Notes a request that is sent now. */
  note (now: number): void {
    this.log.forgetBefore(now - Math.max(KEPT_MS, this.bound?.windowMs ?? 0))
    this.log.add(1, now)
  }
}
