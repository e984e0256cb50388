/**
 * Applies the notices in the responses of this box's endpoints. A draining endpoint is not offered until it has restarted. An endpoint
 * that requests a backoff receives nothing during it, load reports included. An advertised rate limit is applied by this process alone,
 * since all requests to the endpoint pass through it.
 */
import { type ResponseHead } from '@gullwall/endpoint.dialect'
import { describeNotices, parseNotices } from '@gullwall/endpoint.notices'
import { BackoffTable, createTransitionRecord } from '@gullwall/routing.backoff'
import { selectLatestLimit, RateMeter, type AdvertisedLimit } from '@gullwall/routing.rates'
import { type SidecarServices } from './index.ts'

export class EngineNotices {
  readonly backoffs: BackoffTable
  /** Number of backoff times and limits since the start that could not be parsed. */
  invalidCount = 0
  /** The latest advertised limits by endpoint. */
  private readonly limits = new Map<string, AdvertisedLimit>()
  private readonly meters = new Map<string, RateMeter>()
  private readonly capacityTimers = new Map<string, NodeJS.Timeout>()
  /** When endpoints announced that they are draining, by the monotonic clock. */
  private readonly drainingSince = new Map<string, number>()

  constructor (private readonly services: Pick<SidecarServices, 'logger' | 'endpoints' | 'entryLinks'>) {
    this.backoffs = new BackoffTable({
      // The endpoints are created after this object, but before the first request to them.
      onPermitsAvailable: () => { for (const { slots } of this.services.endpoints.values()) slots.handleCapacityChange() },
      onTransition: (endpoint, turn) => {
        services.logger.info(createTransitionRecord(endpoint, turn))
        this.services.endpoints.get(endpoint)?.slots.handleCapacityChange()
      }
    })
  }

  stop (): void {
    this.backoffs.stop()
    for (const timer of this.capacityTimers.values()) clearTimeout(timer)
  }

  /** Returns the meter that counts the requests to an endpoint against its advertised limit. */
  meterOf (endpoint: string): RateMeter {
    const meter = this.meters.get(endpoint) ?? new RateMeter()
    this.meters.set(endpoint, meter)
    return meter
  }

  /** Records that a request of any kind is sent to an endpoint now. */
  recordSent (endpoint: string): void {
    const meter = this.meterOf(endpoint)
    const now = performance.now()
    meter.recordSent(now)
    this.scheduleCapacityCheck(endpoint, meter.waitMs(now))
  }

  /** Applies the notices in the head of any response of an endpoint. */
  recordResponseHead (endpoint: string, { status, headers, sentAt }: ResponseHead): void {
    const notices = parseNotices({ status, headers })
    const description = describeNotices(notices)
    if (description !== undefined) {
      this.services.logger.sampled('notice', { channel: 'endpoint', event: 'notice', endpoint, why: `answered ${status}, ${description}` })
    }
    if (notices.invalidValues !== undefined) this.invalidCount += 1
    this.backoffs.recordBackoff(endpoint, notices.backoffMs ?? 0)
    if (notices.limit !== undefined) this.recordLimit(endpoint, { ...notices.limit, sentAt, receivedAt: performance.now() })
    const since = this.drainingSince.get(endpoint)
    if (notices.isDraining && since === undefined) this.setDraining(endpoint, true)
    // A draining endpoint announces it in all responses. One without the notice, to a later request, comes from its next life.
    if (!notices.isDraining && since !== undefined && sentAt > since) this.setDraining(endpoint, false)
  }

  /** Drops the notices of an endpoint that has crashed, since they don't apply to its next life. */
  forget (endpoint: string): void {
    this.backoffs.forget(endpoint)
    this.limits.delete(endpoint)
    this.meterOf(endpoint).setLimit(undefined)
    if (this.drainingSince.has(endpoint)) this.setDraining(endpoint, false)
    this.services.endpoints.get(endpoint)?.slots.handleCapacityChange()
  }

  private recordLimit (endpoint: string, advertised: AdvertisedLimit): void {
    const latest = selectLatestLimit(this.limits.get(endpoint), advertised)
    if (latest === undefined) return
    this.limits.set(endpoint, latest)
    const meter = this.meterOf(endpoint)
    if (!meter.setLimit(latest.perSecond)) return
    const event = latest.perSecond === undefined ? 'unlimited' : 'limited'
    const why = latest.perSecond === undefined ? 'it names no limit any more' : `it takes ${latest.perSecond} requests a second`
    this.services.logger.info({ channel: 'endpoint', event, endpoint, why })
    this.services.endpoints.get(endpoint)?.slots.handleCapacityChange()
    this.scheduleCapacityCheck(endpoint, meter.waitMs(performance.now()))
  }

  /** Offers the free capacity of an endpoint once its limit allows further requests. */
  private scheduleCapacityCheck (endpoint: string, ms: number): void {
    clearTimeout(this.capacityTimers.get(endpoint))
    this.capacityTimers.delete(endpoint)
    if (ms <= 0) return
    this.capacityTimers.set(endpoint, setTimeout(() => {
      this.services.endpoints.get(endpoint)?.slots.handleCapacityChange()
      this.scheduleCapacityCheck(endpoint, this.meterOf(endpoint).waitMs(performance.now()))
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
    served.slots.handleCapacityChange()
    entryLinks.publishEndpoints()
  }
}
