/**
 * Carries out what the endpoints of this box say of themselves in their answers: one that drains is offered to nobody until it
 * has started again, one that wants to be left alone is asked for nothing for so long, not even for a report, and one that names a
 * limit of requests a second gets no more than that. This process is the only way to them, so that it keeps the limit alone.
 */
import { type ResponseHead } from '@gullwall/endpoint.dialect'
import { describeNotices, parseNotices } from '@gullwall/endpoint.notices'
import { BackoffTable, createTransitionRecord } from '@gullwall/routing.backoff'
import { selectLatestLimit, RateMeter, type AdvertisedLimit } from '@gullwall/routing.rates'
import { type SidecarServices } from './index.ts'

export class EngineNotices {
  readonly backoffs: BackoffTable
  /** Times asked for that could not be understood, since the start. */
  unreadable = 0
  /** What endpoints said last of their limits. */
  private readonly limits = new Map<string, AdvertisedLimit>()
  private readonly meters = new Map<string, RateMeter>()
  private readonly roomTimers = new Map<string, NodeJS.Timeout>()
  /** Since when endpoints drain, by the monotonic clock. */
  private readonly drainingSince = new Map<string, number>()

  constructor (private readonly services: Pick<SidecarServices, 'logger' | 'endpoints' | 'entryLinks'>) {
    this.backoffs = new BackoffTable({
      // The endpoints are made with this object in hand, and are there once anything is asked of them.
      onPermitsAvailable: () => { for (const { slots } of this.services.endpoints.values()) slots.roomChanged() },
      onTransition: (endpoint, turn) => {
        services.logger.info(createTransitionRecord(endpoint, turn))
        this.services.endpoints.get(endpoint)?.slots.roomChanged()
      }
    })
  }

  stop (): void {
    this.backoffs.stop()
    for (const timer of this.roomTimers.values()) clearTimeout(timer)
  }

  /** What may be sent to an endpoint within a time. */
  meterOf (endpoint: string): RateMeter {
    const meter = this.meters.get(endpoint) ?? new RateMeter()
    this.meters.set(endpoint, meter)
    return meter
  }

  /** Notes a request that is sent to an endpoint now, of whatever kind. */
  noteSent (endpoint: string): void {
    const meter = this.meterOf(endpoint)
    const now = performance.now()
    meter.recordSent(now)
    this.lookAgainIn(endpoint, meter.waitMs(now))
  }

  /** Takes the head of any answer of an endpoint. */
  take (endpoint: string, { status, headers, sentAt }: ResponseHead): void {
    const notices = parseNotices({ status, headers })
    const said = describeNotices(notices)
    if (said !== undefined) {
      this.services.logger.sampled('notice', { channel: 'endpoint', event: 'notice', endpoint, why: `answered ${status}, ${said}` })
    }
    if (notices.invalidValues !== undefined) this.unreadable += 1
    this.backoffs.recordBackoff(endpoint, notices.backoffMs ?? 0)
    if (notices.limit !== undefined) this.noteLimit(endpoint, { ...notices.limit, sentAt, receivedAt: performance.now() })
    const since = this.drainingSince.get(endpoint)
    if (notices.isDraining && since === undefined) this.setDraining(endpoint, true)
    // All answers of one that drains say so. An answer without the word to a later request comes from its next life.
    if (!notices.isDraining && since !== undefined && sentAt > since) this.setDraining(endpoint, false)
  }

  /** Forgets what an endpoint said, since it has crashed: its next life has said nothing. */
  forget (endpoint: string): void {
    this.backoffs.forget(endpoint)
    this.limits.delete(endpoint)
    this.meterOf(endpoint).setLimit(undefined)
    if (this.drainingSince.has(endpoint)) this.setDraining(endpoint, false)
    this.services.endpoints.get(endpoint)?.slots.roomChanged()
  }

  private noteLimit (endpoint: string, word: AdvertisedLimit): void {
    const held = selectLatestLimit(this.limits.get(endpoint), word)
    if (held === undefined) return
    this.limits.set(endpoint, held)
    const meter = this.meterOf(endpoint)
    if (!meter.setLimit(held.perSecond)) return
    const event = held.perSecond === undefined ? 'unlimited' : 'limited'
    const why = held.perSecond === undefined ? 'it names no limit any more' : `it takes ${held.perSecond} requests a second`
    this.services.logger.info({ channel: 'endpoint', event, endpoint, why })
    this.services.endpoints.get(endpoint)?.slots.roomChanged()
    this.lookAgainIn(endpoint, meter.waitMs(performance.now()))
  }

  /** Offers what a limited endpoint takes once it takes more. */
  private lookAgainIn (endpoint: string, ms: number): void {
    clearTimeout(this.roomTimers.get(endpoint))
    this.roomTimers.delete(endpoint)
    if (ms <= 0) return
    this.roomTimers.set(endpoint, setTimeout(() => {
      this.services.endpoints.get(endpoint)?.slots.roomChanged()
      this.lookAgainIn(endpoint, this.meterOf(endpoint).waitMs(performance.now()))
    }, ms + 1))
  }

  private setDraining (endpoint: string, isDraining: boolean): void {
    const { logger, endpoints, entryLinks } = this.services
    if (isDraining) this.drainingSince.set(endpoint, performance.now())
    else this.drainingSince.delete(endpoint)
    const served = endpoints.get(endpoint)
    if (served === undefined) return
    const why = isDraining ? 'it says so in its answers' : 'it has started again'
    logger.info({ channel: 'endpoint', event: isDraining ? 'leaving' : 'up', endpoint, why })
    served.slots.isDraining = isDraining
    served.slots.roomChanged()
    entryLinks.endpointsChanged()
  }
}
