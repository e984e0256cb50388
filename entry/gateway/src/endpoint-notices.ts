/**
 * Applies the notices that endpoints put into the heads of their responses. An endpoint that drains receives no more requests, and
 * one that requests a backoff receives none for that time. A notice applies in this process as soon as the head has been read, even
 * while no control process can be reached.
 */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { limitToWire } from '@gullwall/control.registry'
import { describeNotices, type LimitNotice, type Notices } from '@gullwall/endpoint.notices'
import { type EndpointDescription, type EndpointState } from '@gullwall/routing.balancer'
import { BackoffTable, createTransitionRecord, type BackoffPermit } from '@gullwall/routing.backoff'
import { type Lease, type MessageOf } from '@gullwall/transport.messages'
import { type EndpointRule } from './eligibility.ts'
import { type GatewayServices } from './index.ts'

/** Another process than the addressed endpoint responds with this status. */
const MISDIRECTED_REQUEST_STATUS = 421
/** Maximum number of draining endpoints that are remembered, to report them again if control lists them as ready; the oldest is dropped. */
const MAX_DRAINING = 4096

type EndpointLimitReport = MessageOf<'limits'>['limits'][number]

/** Counts of notices since the start, for the metrics. */
export interface NoticeTotals {
  /** Endpoints whose draining became known here first, from a response. */
  draining: number
  /** Backoff times and limits that could not be parsed. */
  invalid: number
  /** Responses that advertised a limit. */
  limits: number
  /** Responses with the id of another request than the one that waited for a response. */
  foreign: number
}

/** The notices of one response. */
export interface ReceivedNotices {
  status: number
  /** When the request of the response was sent, by the monotonic clock. */
  sentAt: number
  notices: Notices
}

export class EndpointNotices {
  readonly totals: NoticeTotals = { draining: 0, invalid: 0, limits: 0, foreign: 0 }
  readonly backoffs: BackoffTable
  private readonly draining = new Set<string>()
  private isWaking = false

  constructor (private readonly services: Pick<GatewayServices, 'logger' | 'view' | 'controlLinks'>) {
    const { logger } = services
    this.backoffs = new BackoffTable({
      onPermitsAvailable: () => { void this.wakeSoon() },
      onTransition: (endpoint, transition) => logger.sampled(`backoff ${transition.event}`, createTransitionRecord(endpoint, transition))
    })
  }

  stop (): void {
    this.backoffs.stop()
  }

  /** Eligibility rule: no requests during a requested backoff, and afterwards as many as slow start allows. */
  readonly rule: EndpointRule = ({ description }) => this.backoffs.findBlockReason(description.incarnation)

  /** Returns why a request may no longer be sent to the chosen endpoint; undefined if it may. */
  findRefusalReason ({ description: { incarnation } }: EndpointState): string | undefined {
    const { view } = this.services
    if (!view.acceptsRequests(incarnation)) return `${incarnation} no longer accepts new requests`
    return this.backoffs.remainingMs(incarnation) > 0 ? this.backoffs.findBlockReason(incarnation) : undefined
  }

  /** Acquires a permit to send a request; undefined if other requests have used the slow-start window since the choice. */
  acquirePermit ({ description }: EndpointState): BackoffPermit | undefined {
    return this.backoffs.acquire(description.incarnation)
  }

  /** Applies the notices of a response to a request that was sent to an endpoint. */
  apply (sentTo: EndpointDescription, { status, sentAt, notices }: ReceivedNotices): void {
    const description = describeNotices(notices)
    const incarnation = this.findResponder(sentTo, status)
    if (incarnation !== undefined && notices.limit !== undefined) this.recordLimit(incarnation, notices.limit, sentAt)
    if (description === undefined) return
    const why = `responded ${status}: ${description}`
    this.services.logger.sampled('notice', { channel: 'endpoint', event: 'notice', endpoint: incarnation ?? sentTo.address, why })
    if (notices.invalidValues !== undefined) this.totals.invalid += 1
    if (notices.limit?.perSecond !== undefined) this.totals.limits += 1
    if (incarnation === undefined) return
    this.backoffs.recordBackoff(incarnation, notices.backoffMs ?? 0)
    if (notices.isDraining) this.recordDraining(incarnation)
  }

  /** Counts and logs a response that belongs to another request. It has no other effect. */
  recordForeignResponse ({ incarnation }: EndpointDescription, status: number, requestId: string): void {
    this.totals.foreign += 1
    const why = `responded ${status} with another id to ${requestId}, which may have run; ${this.totals.foreign} such responses since the start`
    this.services.logger.sampled('foreign response', { channel: 'endpoint', event: 'foreign', endpoint: incarnation, why })
  }

  /** Returns the limits known here that differ from those in the leases of a control process. */
  findLimitsToReport (leases: readonly Lease[]): EndpointLimitReport[] {
    const now = performance.now()
    return leases.flatMap(({ incarnation, limit }) => {
      const known = this.services.view.leases.get(incarnation)?.limit
      return known === undefined || known.perSecond === limit?.perSecond ? [] : [{ incarnation, ...limitToWire(known, now) }]
    })
  }

  /** Returns the incarnations that are known here to drain, but are ready in the leases of another process. */
  findDrainingReportedReady (leases: readonly Lease[]): string[] {
    if (this.draining.size === 0) return []
    return leases.filter(({ state, incarnation }) => state === 'ready' && this.draining.has(incarnation)).map(({ incarnation }) => incarnation)
  }

  /**
   * Returns the incarnation that sent the response. A misdirected request was answered by another incarnation at the same address;
   * undefined if that one is not known.
   */
  private findResponder ({ incarnation, address }: EndpointDescription, status: number): string | undefined {
    if (status !== MISDIRECTED_REQUEST_STATUS) return incarnation
    const holder = this.services.view.leases.holderOf(address)
    return holder === incarnation ? undefined : holder
  }

  private recordLimit (incarnation: string, { perSecond }: LimitNotice, sentAt: number): void {
    const { view, controlLinks } = this.services
    const receivedAt = performance.now()
    const receivedLimit = { perSecond, sentAt, receivedAt }
    if (!view.leases.recordLimit(incarnation, receivedLimit)) return
    controlLinks.reportLimits([{ incarnation, ...limitToWire(receivedLimit, receivedAt) }])
    view.wake()
  }

  private recordDraining (incarnation: string): void {
    if (!this.services.view.leases.recordDraining(incarnation)) return
    this.totals.draining += 1
    this.draining.add(incarnation)
    const [oldest] = this.draining
    if (this.draining.size > MAX_DRAINING && oldest !== undefined) this.draining.delete(oldest)
    this.services.controlLinks.reportDraining([incarnation])
  }

  /** Wakes the requests that wait for an endpoint, once for all backoffs that end in the same turn of the event loop. */
  private async wakeSoon (): Promise<void> {
    if (this.isWaking) return
    this.isWaking = true
    await nextTurn()
    this.isWaking = false
    this.services.view.wake()
  }
}
