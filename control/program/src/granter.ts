/**
 * Grants requests to endpoints that are cold or advertise a limit. Only the leader of the quorum grants, under a short lease. The
 * other processes forward grant requests to the leader. A new leader does not know the grants of the previous leader and waits
 * until no request of those grants can still be sent.
 */
import { RouteTable, type ColdLimit } from '@gullwall/config.document'
import { GullwallError } from '@gullwall/core.error'
import { counter, gauge, type Counter, type Registry } from '@gullwall/core.metrics'
import { type Grant, type GrantRequest, type MessageOf } from '@gullwall/transport.messages'
import { LeasedGrantLedger } from './leased-grant-ledger.ts'
import { createColdGrantBound, createLimitGrantBound, type GrantBound, type GrantLedger, type LedgerRequest } from './grant-ledger.ts'
import { type ControlServices } from './index.ts'

/** Interval at which the process checks whether it leads, in ms. */
const OBSERVE_INTERVAL_MS = 200

interface GranterMetrics {
  requests: Counter
  granted: Counter
  refused: Counter
}

export interface GrantRequestOptions {
  /** Whether a peer forwarded the request. A forwarded request is not forwarded again. */
  isForwarded: boolean
}

/** Returns the largest number of requests that all boxes together may send to a cold endpoint within a second. */
export function computeColdBound ({ perSecond }: Pick<ColdLimit, 'perSecond'>, cold = { overrun: 1, slack: 0 }): number {
  return Math.floor(perSecond * cold.overrun + cold.slack)
}

export class Granter {
  private readonly leasedLedger: LeasedGrantLedger
  private table: RouteTable | undefined
  private metrics: GranterMetrics | undefined
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly services: ControlServices) {
    this.leasedLedger = new LeasedGrantLedger({
      leadingTerm: () => services.quorum.role === 'leader' ? services.quorum.status().term : undefined,
      confirmLeadership: async () => await services.quorum.confirmRead()
    })
  }

  start (): void {
    this.timer = setInterval(() => this.leasedLedger.observeTerm(), OBSERVE_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  addMetrics (registry: Registry): void {
    this.metrics = {
      requests: counter(registry, 'gullwall_cold_asks_total', 'Wishes for cold endpoints that were decided here'),
      granted: counter(registry, 'gullwall_cold_granted_requests_total', 'Requests to cold endpoints that were granted here'),
      refused: counter(registry, 'gullwall_cold_refusals_total', 'Wishes for cold endpoints that were not granted here')
    }
    const endpoints = gauge(registry, 'gullwall_cold_endpoints', 'Endpoints whose grants are counted here')
    Object.assign(endpoints, { collect: () => endpoints.set(this.leasedLedger.endpointCount) })
  }

  /**
   * Decides the grant requests of an entry, here or at the leader.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT
   */
  async handleRequest (message: MessageOf<'coldAsk'>, { isForwarded }: GrantRequestOptions): Promise<MessageOf<'coldGranted'>> {
    if (this.services.quorum.role !== 'leader') {
      if (!isForwarded) return await this.services.proposer.requestGrants(message)
      throw new GullwallError('ERR_GULLWALL_NOT_LEADER', 'this process does not lead', { step: 'grant', hint: 'repeat the request' })
    }
    const ledger = await this.leasedLedger.acquire()
    if (ledger === undefined) {
      throw new GullwallError('ERR_GULLWALL_NO_QUORUM', 'this leader does not hold the lease', { step: 'grant', hint: 'repeat the request' })
    }
    return { kind: 'coldGranted', grants: message.wishes.map((request) => this.decide(ledger, request, message.entry)) }
  }

  private decide (ledger: GrantLedger, request: GrantRequest, entry: string): Grant {
    const { incarnation, requests } = request
    const perSecond = this.findLimit(request)
    const bounds = this.findBounds(request, perSecond)
    const ledgerRequest = { incarnation, box: entry, requests, bounds, coldStatus: this.findColdStatus(incarnation) }
    const grant = { ...ledger.grant(ledgerRequest, performance.now()), perSecond }
    this.metrics?.requests.inc()
    if (grant.requests > 0) this.metrics?.granted.inc(grant.requests)
    else this.metrics?.refused.inc()
    this.log({ entry, requests, bounds, grant })
    return grant
  }

  /** Returns the limit in requests per second: the smaller of the limits that the entry and this process know. */
  private findLimit ({ incarnation, perSecond }: GrantRequest): number | undefined {
    const known = this.services.leases.get(incarnation)?.limit?.perSecond
    return perSecond === undefined || known === undefined ? perSecond ?? known : Math.min(perSecond, known)
  }

  /** Returns all bounds of an endpoint. An endpoint without bounds is granted nothing. */
  private findBounds ({ incarnation, service, isWarm }: GrantRequest, perSecond: number | undefined): GrantBound[] {
    const limit = perSecond === undefined ? undefined : createLimitGrantBound(perSecond)
    const isCold = isWarm !== true || (this.services.leases.get(incarnation)?.coldMs ?? 0) > 0
    const coldLimit = isCold ? this.findColdLimit(service) : undefined
    const cold = coldLimit === undefined ? undefined : createColdGrantBound(computeColdBound(coldLimit, this.services.settings.cold))
    return [limit, cold].filter((bound) => bound !== undefined)
  }

  private findColdStatus (incarnation: string): LedgerRequest['coldStatus'] {
    const lease = this.services.leases.get(incarnation)
    return lease?.coldMs === undefined ? undefined : { receivedAt: lease.receivedAt, coldMs: lease.coldMs }
  }

  private log ({ entry, requests, bounds, grant }: { entry: string, requests: number, bounds: readonly GrantBound[], grant: Grant }): void {
    const { incarnation, withinMs } = grant
    const lease = this.services.leases.get(incarnation)
    const status = lease === undefined ? 'no lease known' : `status ${Math.round(performance.now() - lease.receivedAt)} ms old, cold for ${lease.coldMs ?? '?'} ms then`
    const outcome = grant.requests > 0 ? `${grant.requests} of ${requests} within ${withinMs} ms` : `none of ${requests}, retry after ${withinMs} ms`
    const event = grant.requests > 0 ? 'granted' : 'not-granted'
    this.services.logger.sampled(event, {
      channel: 'endpoint', event, endpoint: incarnation, why: `${outcome} to ${entry}; at most ${describeBounds(bounds)}; ${status}`
    })
  }

  /** Returns the cold limit of a service in the active document. Parses each version of the document once. */
  private findColdLimit (service: string): ColdLimit | undefined {
    const { state, format } = this.services
    const stored = state.document
    if (stored === undefined) return undefined
    if (this.table?.version !== stored.version) {
      const document = format.parse(stored.text).toMaybe().extract()
      if (document !== undefined) this.table = new RouteTable({ ...document, version: stored.version })
    }
    return this.table?.service(service)?.coldLimit
  }
}

function describeBounds (bounds: readonly GrantBound[]): string {
  return bounds.length === 0 ? 'none' : bounds.map(({ requests, windowMs }) => `${requests} in ${Math.round(windowMs)} ms`).join(' and ')
}
