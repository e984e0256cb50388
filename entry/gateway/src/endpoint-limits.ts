/**
 * Enforces the rate limits that endpoints advertise, in requests a second from all boxes together. A request is sent to a limited
 * endpoint only under a grant of the control process, which divides the limit among the boxes. A box without a grant sends nothing
 * to a limited endpoint, even when it can't reach control.
 */
import { type KnownLease } from '@gullwall/control.registry'
import { MAX_METERED_REQUESTS_PER_SECOND } from '@gullwall/routing.rates'
import { type EndpointState } from '@gullwall/routing.balancer'
import { type Call } from './call.ts'
import { type EndpointRule } from './eligibility.ts'
import { type GrantPool, type ActiveGrant } from './grant-pool.ts'
import { OnDemandRequester, type OnDemandRequesterOptions } from './on-demand-requester.ts'

/** Counts of decisions since the start, for the metrics. */
export interface LimitTotals {
  /** Requests for which a limited endpoint was excluded at least once, because there was no grant. */
  excluded: number
  /** Requests sent to limited endpoints under a grant. */
  sent: number
  /** Requests that were not sent to the chosen endpoint, because it advertised a limit or the grant expired before the first byte. */
  withheld: number
}

export interface EndpointLimitsOptions extends OnDemandRequesterOptions {
  /** Whether an endpoint is cold; control then bounds its grants for that reason too. */
  isCold: (endpoint: EndpointState) => boolean
  /** Called when an endpoint no longer advertises a limit. */
  onLimitEnded: (incarnation: string) => void
}

export class EndpointLimits {
  readonly totals: LimitTotals = { excluded: 0, sent: 0, withheld: 0 }
  readonly grantRequester: OnDemandRequester
  /** Advertised limits by incarnation, in requests a second. */
  private readonly limits = new Map<string, number>()
  /** Limited endpoints that were excluded for each request. */
  private readonly excludedFor = new WeakMap<Call, Set<string>>()
  private readonly grantPool: GrantPool

  constructor (private readonly options: EndpointLimitsOptions) {
    this.grantPool = options.grantPool
    this.grantRequester = new OnDemandRequester(options)
  }

  stop (): void {
    this.grantRequester.stop()
  }

  /** Records the limit that an endpoint advertises, or the end of its limit. */
  recordLimit ({ incarnation, limit }: Pick<KnownLease, 'incarnation' | 'limit'>): void {
    const perSecond = limit?.perSecond
    if (perSecond !== undefined && perSecond <= MAX_METERED_REQUESTS_PER_SECOND) {
      this.limits.set(incarnation, perSecond)
      return
    }
    if (!this.limits.has(incarnation)) return
    this.forget(incarnation)
    this.options.onLimitEnded(incarnation)
  }

  /** Removes all state of an endpoint. */
  forget (incarnation: string): void {
    if (!this.limits.delete(incarnation)) return
    this.grantRequester.forget(incarnation)
    this.grantPool.forget(incarnation)
  }

  /** Returns the limit of an endpoint in requests a second; undefined if it has none. */
  limitPerSecond (incarnation: string): number | undefined {
    return this.limits.get(incarnation)
  }

  /** Returns the limited endpoints, for the status page. */
  limitedEndpoints (): Array<{ endpoint: string, perSecond: number }> {
    return [...this.limits].map(([endpoint, perSecond]) => ({ endpoint, perSecond }))
  }

  get size (): number {
    return this.limits.size
  }

  /** Eligibility rule: a limited endpoint is eligible if a grant is available or may be requested now. */
  readonly rule: EndpointRule = ({ description: { incarnation } }, call) => {
    const perSecond = this.limits.get(incarnation)
    if (perSecond === undefined) return undefined
    const waitMs = this.waitMs(incarnation)
    if (waitMs === 0) return undefined
    this.recordExclusion(call, incarnation)
    return `${incarnation} accepts ${perSecond} requests a second from all boxes; no grant within ${Math.ceil(waitMs)} ms`
  }

  /** Returns the time until a request may use an endpoint or request a grant for it, in ms; 0 if it may now. */
  waitMs (incarnation: string): number {
    if (!this.limits.has(incarnation)) return 0
    return this.grantPool.countAvailable(incarnation, this.options.now()) > 0 ? 0 : this.grantRequester.waitMs(incarnation)
  }

  /** Whether a grant must be requested before a request is sent to an endpoint: the endpoint is limited and no grant is available. */
  needsGrant ({ description: { incarnation } }: EndpointState): boolean {
    return this.limits.has(incarnation) && this.grantPool.countAvailable(incarnation, this.options.now()) === 0
  }

  /** Requests a grant for one request; resolves when control has responded or the wait has timed out. */
  async requestGrant (endpoint: EndpointState): Promise<void> {
    const { incarnation, service } = endpoint.description
    const perSecond = this.limits.get(incarnation)
    await this.grantRequester.requestGrant({ incarnation, service, perSecond, isWarm: !this.options.isCold(endpoint) })
  }

  /** Uses a grant for one request that is sent now; undefined if none is available. */
  takeGrant (incarnation: string): ActiveGrant | undefined {
    const grant = this.grantPool.takeGrant(incarnation, this.options.now())
    if (grant !== undefined) this.totals.sent += 1
    return grant
  }

  /** Describes for the log how many limited endpoints were excluded for a request; empty if none was. */
  describeExcluded (call: Call): string {
    const excluded = this.excludedFor.get(call)
    return excluded === undefined ? '' : `; excluded limited endpoints without a grant: ${excluded.size}`
  }

  private recordExclusion (call: Call, incarnation: string): void {
    const excluded = this.excludedFor.get(call)
    if (excluded === undefined) this.totals.excluded += 1
    this.excludedFor.set(call, (excluded ?? new Set()).add(incarnation))
  }
}
