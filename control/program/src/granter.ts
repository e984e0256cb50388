/**
 * Grants requests to cold endpoints. The leader of the quorum alone grants, under a short lease; the others pass wishes on to
 * it. A process that leads anew knows nothing of what was granted before, and waits until none of that can still be sent.
 */
import { RouteTable, type ColdLimit } from '@gullwall/config.document'
import { GullwallError } from '@gullwall/core.error'
import { counter, gauge, type Counter, type Registry } from '@gullwall/core.metrics'
import { type Grant, type GrantWish, type MessageOf } from '@gullwall/transport.messages'
import { GrantDuty } from './grant-duty.ts'
import { type GrantLedger, type LedgerAsk } from './grant-ledger.ts'
import { type ControlServices } from './index.ts'

/** How often it is seen whether this process leads, in ms. */
const OBSERVE_MS = 200

interface GranterMetrics {
  asks: Counter
  granted: Counter
  refused: Counter
}

export interface AskOptions {
  /** Whether a peer has passed it on; it is not passed on again. */
  isForwarded: boolean
}

/** The most requests that a cold endpoint may get within a second, over all boxes. */
export function coldBound ({ perSecond }: Pick<ColdLimit, 'perSecond'>, cold = { overrun: 1, slack: 0 }): number {
  return Math.floor(perSecond * cold.overrun + cold.slack)
}

export class Granter {
  private readonly duty: GrantDuty
  private table: RouteTable | undefined
  private metrics: GranterMetrics | undefined
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly services: ControlServices) {
    this.duty = new GrantDuty({
      leadingTerm: () => services.quorum.role === 'leader' ? services.quorum.status().term : undefined,
      confirm: async () => await services.quorum.confirmRead()
    })
  }

  start (): void {
    this.timer = setInterval(() => this.duty.observe(), OBSERVE_MS)
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
    Object.assign(endpoints, { collect: () => endpoints.set(this.duty.size) })
  }

  /**
   * Decides an entry's wishes, here or at the leader.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT
   */
  async answer (message: MessageOf<'coldAsk'>, { isForwarded }: AskOptions): Promise<MessageOf<'coldGranted'>> {
    if (this.services.quorum.role !== 'leader') {
      if (!isForwarded) return await this.services.proposer.askGrants(message)
      throw new GullwallError('ERR_GULLWALL_NOT_LEADER', 'this process does not lead', { step: 'grant', hint: 'ask again' })
    }
    const ledger = await this.duty.held()
    if (ledger === undefined) {
      throw new GullwallError('ERR_GULLWALL_NO_QUORUM', 'this leader does not hold the lease', { step: 'grant', hint: 'ask again' })
    }
    return { kind: 'coldGranted', grants: message.wishes.map((wish) => this.decide(ledger, wish, message.entry)) }
  }

  private decide (ledger: GrantLedger, { incarnation, service, requests }: GrantWish, entry: string): Grant {
    const limit = this.limitOf(service)
    const bound = limit === undefined ? 0 : coldBound(limit, this.services.settings.cold)
    const grant = ledger.grant({ incarnation, requests, bound, word: this.wordOf(incarnation) }, performance.now())
    this.metrics?.asks.inc()
    if (grant.requests > 0) this.metrics?.granted.inc(grant.requests)
    else this.metrics?.refused.inc()
    this.log({ entry, requests, bound, grant })
    return grant
  }

  private wordOf (incarnation: string): LedgerAsk['word'] {
    const lease = this.services.leases.get(incarnation)
    return lease?.coldMs === undefined ? undefined : { heardAt: lease.heardAt, coldMs: lease.coldMs }
  }

  private log ({ entry, requests, bound, grant }: { entry: string, requests: number, bound: number, grant: Grant }): void {
    const { incarnation, withinMs } = grant
    const lease = this.services.leases.get(incarnation)
    const word = lease === undefined ? 'not known here' : `word ${Math.round(performance.now() - lease.heardAt)} ms old, cold for ${lease.coldMs ?? '?'} ms then`
    const what = grant.requests > 0 ? `${grant.requests} of ${requests} within ${withinMs} ms` : `none of ${requests}, ask again after ${withinMs} ms`
    const event = grant.requests > 0 ? 'granted' : 'not-granted'
    this.services.logger.sampled(event, {
      channel: 'endpoint', event, endpoint: incarnation, why: `${what} to ${entry}; at most ${bound} in a second; ${word}`
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
