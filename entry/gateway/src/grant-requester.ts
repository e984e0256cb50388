/**
 * Requests grants from control in the background, so that no choice waits for a grant. One message is in flight at a time; it asks for
 * as many grants as the recent traffic of this box needs. Boxes rank the endpoints differently, so that they do not contend for the
 * same ones.
 */
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { hashName } from '@gullwall/routing.balancer'
import { type Grant, type GrantRequest } from '@gullwall/transport.messages'
import { type GrantPool } from './grant-pool.ts'

/** Validity of a grant, and the window in which arrivals are counted to estimate the demand, in ms. */
const WINDOW_MS = 500
/** Minimum time between two messages of a box, in ms. */
const MIN_SPACING_MS = 50
/** Maximum number of messages a second from all boxes together, since a single process handles them. */
const MAX_MESSAGES_PER_SECOND = 2000
/** Time until the next message after one without a response, in ms: an election of a new leader takes about a second. */
const FAILED_SPACING_MS = 400
/** Time until the next check after one that found nothing to request, in ms; each check visits all endpoints. */
const IDLE_SPACING_MS = 25
/** Grants that are requested in addition to the recent demand, since arrivals are uneven. */
const HEADROOM = 1
/** Share of the demand above which the available grants suffice; otherwise a box requests all that it lacks in one message. */
const SUFFICIENT_SHARE = 0.5
/** Maximum number of requests for one endpoint in a message; control grants no more at once. */
const MAX_REQUESTS = 5
/** Maximum number of endpoints in a message. */
const MAX_ENDPOINTS = 32

/** Returns the time between two messages of one box, in ms, so that all boxes together do not exceed the rate that control handles. */
export function grantRequestSpacingMs (boxes: number): number {
  return 1000 * boxes / MAX_MESSAGES_PER_SECOND
}

export interface GrantRequesterOptions {
  box: string
  logger: Logger
  /** Sends grant requests to control; rejects if control does not respond. */
  requestGrants: (grantRequests: GrantRequest[]) => Promise<Grant[]>
  /** Wakes the requests that wait for an endpoint. */
  wake: () => void
  now: () => number
  grantPool: GrantPool
  /** Number of boxes that request grants. */
  entryCount: () => number
  /** The limit that an endpoint advertises, in requests a second; undefined if it has none. */
  advertisedLimitOf?: ((incarnation: string) => number | undefined) | undefined
}

/** An endpoint that needs a grant. */
interface WantedEndpoint {
  incarnation: string
  service: string
  /** Preference of this box; lower ranks are requested first. */
  rank: number
  /** Earliest time of the next grant request for this endpoint, set by a refusal of control. */
  notBefore: number
  /** When a request last needed a grant for this endpoint. */
  wantedAt: number
}

export class GrantRequester {
  /** Messages since the start, and those without a response. */
  readonly totals = { requests: 0, failed: 0 }
  private readonly wanted = new Map<string, WantedEndpoint>()
  private readonly arrivals = new Map<string, number[]>()
  /** Requests that were counted, by service. */
  private readonly counted = new Map<string, WeakSet<object>>()
  private isRequesting = false
  private timer: NodeJS.Timeout | undefined
  private nextRequestAt = -Infinity

  constructor (private readonly options: GrantRequesterOptions) {}

  /** Counts a request of a service once, even if an endpoint is chosen for it several times. */
  recordRequest (service: string, call: object): void {
    const counted = this.counted.get(service) ?? new WeakSet()
    this.counted.set(service, counted)
    if (counted.has(call)) return
    counted.add(call)
    const now = this.options.now()
    this.arrivals.set(service, [...this.recent(service, now), now])
  }

  /** Records that a request needs a grant for an endpoint, and sends a message to control as soon as the spacing allows. */
  requestGrant ({ incarnation, service }: Pick<WantedEndpoint, 'incarnation' | 'service'>): void {
    const now = this.options.now()
    const known = this.wanted.get(incarnation)
    if (known !== undefined) known.wantedAt = now
    else this.wanted.set(incarnation, { incarnation, service, rank: hashName(`${this.options.box} ${incarnation}`), notBefore: -Infinity, wantedAt: now })
    if (!this.isRequesting && now >= this.nextRequestAt) void this.requestInMicrotask()
  }

  forget (incarnation: string): void {
    this.wanted.delete(incarnation)
  }

  /** Sends the message after the current choice has checked all endpoints. */
  private async requestInMicrotask (): Promise<void> {
    this.isRequesting = true
    await Promise.resolve()
    const requestedAt = this.options.now()
    const grantRequests = this.collectGrantRequests(requestedAt)
    if (grantRequests.length > 0) await this.send(grantRequests, requestedAt)
    else this.nextRequestAt = requestedAt + IDLE_SPACING_MS
    this.isRequesting = false
    this.scheduleWake()
  }

  /** Wakes the waiting requests when grants may be requested again, since no new request may arrive by then. */
  private scheduleWake (): void {
    const { now, wake } = this.options
    clearTimeout(this.timer)
    if (this.wanted.size === 0) return
    const firstAllowedAt = Math.min(...[...this.wanted.values()].map(({ notBefore }) => notBefore))
    this.timer = setTimeout(wake, Math.max(IDLE_SPACING_MS, this.nextRequestAt - now(), firstAllowedAt - now())).unref()
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  private async send (grantRequests: GrantRequest[], requestedAt: number): Promise<void> {
    const { requestGrants, wake, logger, now, entryCount } = this.options
    this.totals.requests += 1
    this.nextRequestAt = requestedAt + Math.max(MIN_SPACING_MS, grantRequestSpacingMs(entryCount()))
    try {
      for (const grant of await requestGrants(grantRequests)) this.recordGrant(grant, requestedAt)
      wake()
    } catch (error) {
      this.totals.failed += 1
      this.nextRequestAt = now() + FAILED_SPACING_MS
      logger.sampled('not-granted', { channel: 'endpoint', event: 'not-granted', endpoint: grantRequests[0]?.incarnation ?? '', why: messageOf(error) })
    }
  }

  /** Records a grant or a refusal. Its time counts from the request, since control does not know how long the response is in transit. */
  private recordGrant ({ incarnation, requests, withinMs, perSecond }: Grant, requestedAt: number): void {
    const now = this.options.now()
    const until = requestedAt + withinMs
    // A grant without `perSecond` comes from a control process that does not support limits, and is not valid for a limited endpoint.
    const isUsable = requests > 0 && (perSecond !== undefined || this.options.advertisedLimitOf?.(incarnation) === undefined)
    if (isUsable) this.options.grantPool.add(incarnation, { requests, until }, now)
    const wanted = this.wanted.get(incarnation)
    if (wanted !== undefined && !isUsable) wanted.notBefore = until
  }

  /** Returns the grants to request: the recent demand minus the available grants, at the endpoints that this box prefers. */
  private collectGrantRequests (now: number): GrantRequest[] {
    const grantRequests: GrantRequest[] = []
    const missing = this.missing(now)
    for (const wanted of this.requestable(now)) {
      const requests = Math.min(MAX_REQUESTS, missing.get(wanted.service) ?? 0)
      if (requests <= 0) continue
      if (grantRequests.length === MAX_ENDPOINTS) break
      missing.set(wanted.service, (missing.get(wanted.service) ?? 0) - requests)
      const perSecond = this.options.advertisedLimitOf?.(wanted.incarnation)
      grantRequests.push({
        incarnation: wanted.incarnation, service: wanted.service, requests, ...(perSecond === undefined ? {} : { perSecond })
      })
    }
    return grantRequests
  }

  /** Returns how many grants each service lacks; 0 for a service whose available grants suffice. */
  private missing (now: number): Map<string, number> {
    const available = new Map<string, number>()
    for (const { service, incarnation } of this.wanted.values()) {
      available.set(service, (available.get(service) ?? 0) + this.options.grantPool.countAvailable(incarnation, now))
    }
    return new Map([...available].map(([service, count]) => {
      const needed = this.recent(service, now).length + HEADROOM
      return [service, count <= SUFFICIENT_SHARE * needed ? needed - count : 0]
    }))
  }

  /** Returns the endpoints for which a grant may be requested now, by rank. Removes those that no request has needed recently. */
  private requestable (now: number): WantedEndpoint[] {
    for (const [incarnation, { wantedAt }] of this.wanted) {
      if (now - wantedAt > WINDOW_MS && this.options.grantPool.countAvailable(incarnation, now) === 0) this.wanted.delete(incarnation)
    }
    return [...this.wanted.values()]
      .filter(({ notBefore, incarnation }) => now >= notBefore && this.options.grantPool.countAvailable(incarnation, now) === 0)
      .sort((left, right) => left.rank - right.rank)
  }

  /** Returns the times of the recent requests of a service. */
  private recent (service: string, now: number): number[] {
    return (this.arrivals.get(service) ?? []).filter((at) => now - at <= WINDOW_MS)
  }
}
