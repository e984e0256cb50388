/**
 * Grants requests to endpoints that are cold or have named a limit. The leader of the quorum alone grants, under a short lease;
 * the others pass wishes on to it. A process that leads anew knows nothing of what was granted before, and waits until none of
 * that can still be sent.
 */
import { RouteTable, type ColdLimit } from '@gullwall/config.document'
import { GullwallError } from '@gullwall/core.error'
import { counter, gauge, type Counter, type Registry } from '@gullwall/core.metrics'
import { type Grant, type GrantRequest, type MessageOf } from '@gullwall/transport.messages'
import { LeasedGrantLedger } from './leased-grant-ledger.ts'
import { createColdGrantBound, createLimitGrantBound, type GrantBound, type GrantLedger, type LedgerRequest } from './grant-ledger.ts'
import { type ControlServices } from './index.ts'

/** How often it is seen whether this process leads, in ms. */
const OBSERVE_MS = 200

interface GranterMetrics {
  asks: Counter
  granted: Counter
  refused: Counter
}

export interface GrantRequestOptions {
  /** Whether a peer has passed it on; it is not passed on again. */
  isForwarded: boolean
}

/** The most requests that a cold endpoint may get within a second, over all boxes. */
export function computeColdBound ({ perSecond }: Pick<ColdLimit, 'perSecond'>, cold = { overrun: 1, slack: 0 }): number {
  return Math.floor(perSecond * cold.overrun + cold.slack)
}

export class Granter {
  private readonly duty: LeasedGrantLedger
  private table: RouteTable | undefined
  private metrics: GranterMetrics | undefined
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly services: ControlServices) {
    this.duty = new LeasedGrantLedger({
      leadingTerm: () => services.quorum.role === 'leader' ? services.quorum.status().term : undefined,
      confirmLeadership: async () => await services.quorum.confirmRead()
    })
  }

  start (): void {
    this.timer = setInterval(() => this.duty.observeTerm(), OBSERVE_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  addMetrics (registry: Registry): void {
    this.metrics = {
      asks: counter(registry, 'gullwall_cold_asks_total', 'Wishes for cold endpoints that were decided here'),
      granted: counter(registry, 'gullwall_cold_granted_requests_total', 'Requests to cold endpoints that were granted here'),
      refused: counter(registry, 'gullwall_cold_refusals_total', 'Wishes for cold endpoints that were not granted here')
    }
    const endpoints = gauge(registry, 'gullwall_cold_endpoints', 'Endpoints whose grants are counted here')
    Object.assign(endpoints, { collect: () => endpoints.set(this.duty.endpointCount) })
  }

  /**
   * Decides an entry's wishes, here or at the leader.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT
   */
  async handleRequest (message: MessageOf<'coldAsk'>, { isForwarded }: GrantRequestOptions): Promise<MessageOf<'coldGranted'>> {
    if (this.services.quorum.role !== 'leader') {
      if (!isForwarded) return await this.services.proposer.requestGrants(message)
      throw new GullwallError('ERR_GULLWALL_NOT_LEADER', 'this process does not lead', { step: 'grant', hint: 'ask again' })
    }
    const ledger = await this.duty.acquire()
    if (ledger === undefined) {
      throw new GullwallError('ERR_GULLWALL_NO_QUORUM', 'this leader does not hold the lease', { step: 'grant', hint: 'ask again' })
    }
    return { kind: 'coldGranted', grants: message.wishes.map((wish) => this.decide(ledger, wish, message.entry)) }
  }

  private decide (ledger: GrantLedger, wish: GrantRequest, entry: string): Grant {
    const { incarnation, requests } = wish
    const perSecond = this.limitHeld(wish)
    const bounds = this.boundsOf(wish, perSecond)
    const ask = { incarnation, box: entry, requests, bounds, coldStatus: this.wordOf(incarnation) }
    const grant = { ...ledger.grant(ask, performance.now()), perSecond }
    this.metrics?.asks.inc()
    if (grant.requests > 0) this.metrics?.granted.inc(grant.requests)
    else this.metrics?.refused.inc()
    this.log({ entry, requests, bounds, grant })
    return grant
  }

  /** The limit that holds, in requests a second: the smaller of what the entry has heard and what was told here. */
  private limitHeld ({ incarnation, perSecond }: GrantRequest): number | undefined {
    const told = this.services.leases.get(incarnation)?.limit?.perSecond
    return perSecond === undefined || told === undefined ? perSecond ?? told : Math.min(perSecond, told)
  }

  /** Every reason to bound an endpoint; none where it is granted nothing. */
  private boundsOf ({ incarnation, service, isWarm }: GrantRequest, perSecond: number | undefined): GrantBound[] {
    const limit = perSecond === undefined ? undefined : createLimitGrantBound(perSecond)
    const isCold = isWarm !== true || (this.services.leases.get(incarnation)?.coldMs ?? 0) > 0
    const coldLimit = isCold ? this.limitOf(service) : undefined
    const cold = coldLimit === undefined ? undefined : createColdGrantBound(computeColdBound(coldLimit, this.services.settings.cold))
    return [limit, cold].filter((bound) => bound !== undefined)
  }

  private wordOf (incarnation: string): LedgerRequest['coldStatus'] {
    const lease = this.services.leases.get(incarnation)
    return lease?.coldMs === undefined ? undefined : { receivedAt: lease.receivedAt, coldMs: lease.coldMs }
  }

  private log ({ entry, requests, bounds, grant }: { entry: string, requests: number, bounds: readonly GrantBound[], grant: Grant }): void {
    const { incarnation, withinMs } = grant
    const lease = this.services.leases.get(incarnation)
    const word = lease === undefined ? 'not known here' : `word ${Math.round(performance.now() - lease.receivedAt)} ms old, cold for ${lease.coldMs ?? '?'} ms then`
    const what = grant.requests > 0 ? `${grant.requests} of ${requests} within ${withinMs} ms` : `none of ${requests}, ask again after ${withinMs} ms`
    const event = grant.requests > 0 ? 'granted' : 'not-granted'
    this.services.logger.sampled(event, {
      channel: 'endpoint', event, endpoint: incarnation, why: `${what} to ${entry}; at most ${describeBounds(bounds)}; ${word}`
    })
  }

  /** What the document in force says of a service; read once for each version. */
  private limitOf (service: string): ColdLimit | undefined {
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
