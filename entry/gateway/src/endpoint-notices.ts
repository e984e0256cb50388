/**
 * Carries out what endpoints say of themselves in the heads of their answers: one that drains gets nothing more, and one that
 * wants to be left alone gets nothing for so long. Both are kept by this process from the moment in which it read the head, also
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

/** Another process than the meant one answered with this status. */
const MISDIRECTED = 421
/** Endpoints whose draining control is told of again where it says otherwise; the oldest gives way. */
const MAX_TOLD = 4096

type ToldLimit = MessageOf<'limits'>['limits'][number]

/** What was heard since the start, for the metrics. */
export interface NoticeTotals {
  /** Endpoints that said in an answer, before anybody else told so, that they drain. */
  draining: number
  /** Times and limits that could not be understood. */
  unreadable: number
  /** Answers that named a limit. */
  limits: number
}

/** The notices of one answer. */
export interface ReceivedNotices {
  status: number
  /** When the request was sent that it answers, by the monotonic clock. */
  sentAt: number
  notices: Notices
}

export class EndpointNotices {
  readonly totals: NoticeTotals = { draining: 0, unreadable: 0, limits: 0 }
  readonly backoffs: BackoffTable
  private readonly heardDraining = new Set<string>()
  private isWaking = false

  constructor (private readonly services: Pick<GatewayServices, 'logger' | 'view' | 'controlLinks'>) {
    const { logger } = services
    this.backoffs = new BackoffTable({
      onPermitsAvailable: () => { void this.wakeSoon() },
      onTransition: (endpoint, turn) => logger.sampled(`backoff ${turn.event}`, createTransitionRecord(endpoint, turn))
    })
  }

  stop (): void {
    this.backoffs.stop()
  }

  /** The rule: an endpoint that wants nothing gets nothing, and one that comes back as much as its slow start allows. */
  readonly rule: EndpointRule = ({ description }) => this.backoffs.findBlockReason(description.incarnation)

  /** Why a request is not sent to an endpoint after all, though it was chosen. */
  findRefusalReason ({ description: { incarnation } }: EndpointState): string | undefined {
    const { view } = this.services
    if (!view.acceptsRequests(incarnation)) return `${incarnation} takes no new work any more`
    return this.backoffs.remainingMs(incarnation) > 0 ? this.backoffs.findBlockReason(incarnation) : undefined
  }

  /** Takes leave to send a request; undefined if another one has used the room since the choice. */
  acquirePermit ({ description }: EndpointState): BackoffPermit | undefined {
    return this.backoffs.acquire(description.incarnation)
  }

  /** Takes the notices of an answer to a request that was sent to an endpoint. */
  apply (sentTo: EndpointDescription, { status, sentAt, notices }: ReceivedNotices): void {
    const said = describeNotices(notices)
    const incarnation = this.answeredBy(sentTo, status)
    if (incarnation !== undefined && notices.limit !== undefined) this.noteLimit(incarnation, notices.limit, sentAt)
    if (said === undefined) return
    const why = `answered ${status}, ${said}`
    this.services.logger.sampled('notice', { channel: 'endpoint', event: 'notice', endpoint: incarnation ?? sentTo.address, why })
    if (notices.unreadable !== undefined) this.totals.unreadable += 1
    if (notices.limit?.perSecond !== undefined) this.totals.limits += 1
    if (incarnation === undefined) return
    this.backoffs.recordBackoff(incarnation, notices.backoffMs ?? 0)
    if (notices.isDraining) this.noteDraining(incarnation)
  }

  /** Tells control what endpoints were heard to say of their limits here where a control process holds something else. */
  findLimitsToReport (told: readonly Lease[]): ToldLimit[] {
    const now = performance.now()
    return told.flatMap(({ incarnation, limit }) => {
      const held = this.services.view.leases.get(incarnation)?.limit
      return held === undefined || held.perSecond === limit?.perSecond ? [] : [{ incarnation, ...limitToWire(held, now) }]
    })
  }

  /** Gives the endpoints that said here that they drain, of those that another process takes to be ready. */
  findDrainingReportedReady (leases: readonly Lease[]): string[] {
    if (this.heardDraining.size === 0) return []
    return leases.filter(({ state, incarnation }) => state === 'ready' && this.heardDraining.has(incarnation)).map(({ incarnation }) => incarnation)
  }

  /** The process that has the address of the one that was meant, if that is known; the one that was meant has said nothing. */
  private answeredBy ({ incarnation, address }: EndpointDescription, status: number): string | undefined {
    if (status !== MISDIRECTED) return incarnation
    const holder = this.services.view.leases.holderOf(address)
    return holder === incarnation ? undefined : holder
  }

  private noteLimit (incarnation: string, { perSecond }: LimitNotice, sentAt: number): void {
    const { view, controlLinks } = this.services
    const heardAt = performance.now()
    const word = { perSecond, sentAt, receivedAt: heardAt }
    if (!view.leases.recordLimit(incarnation, word)) return
    controlLinks.reportLimits([{ incarnation, ...limitToWire(word, heardAt) }])
    view.wake()
  }

  private noteDraining (incarnation: string): void {
    if (!this.services.view.leases.recordDraining(incarnation)) return
    this.totals.draining += 1
    this.heardDraining.add(incarnation)
    const [oldest] = this.heardDraining
    if (this.heardDraining.size > MAX_TOLD && oldest !== undefined) this.heardDraining.delete(oldest)
    this.services.controlLinks.reportDraining([incarnation])
  }

  /** Has requests that wait look again, once for all endpoints whose time ends in the same moment. */
  private async wakeSoon (): Promise<void> {
    if (this.isWaking) return
    this.isWaking = true
    await nextTurn()
    this.isWaking = false
    this.services.view.wake()
  }
}
