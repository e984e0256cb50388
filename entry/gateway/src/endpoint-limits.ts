/**
 * Keeps to what endpoints name as the requests a second that they take from all boxes together: a limited endpoint gets a request
 * only under a grant of control, which shares the limit out. A box without a grant sends nothing there, also one that is cut off.
 */
import { type KnownLease } from '@gullwall/control.registry'
import { MAX_METERED_REQUESTS_PER_SECOND } from '@gullwall/routing.rates'
import { type EndpointState } from '@gullwall/routing.balancer'
import { type Call } from './call.ts'
import { type EndpointRule } from './eligibility.ts'
import { type GrantPool, type ActiveGrant } from './grant-pool.ts'
import { OnDemandRequester, type OnDemandRequesterOptions } from './on-demand-requester.ts'

/** What was decided since the start, for the metrics. */
export interface LimitTotals {
  /** Requests that were kept from a limited endpoint at least once. */
  excluded: number
  /** Requests sent to limited endpoints under a grant. */
  sent: number
  /** Requests that were chosen for an endpoint and kept back before the first byte, since it had named a limit or the grant was over. */
  withheld: number
}

export interface EndpointLimitsOptions extends OnDemandRequesterOptions {
  /** Whether an endpoint is cold, so that its grants are bounded for that reason too. */
  isCold: (endpoint: EndpointState) => boolean
  /** Told of an endpoint whose limit is over. */
  onLimitEnded: (incarnation: string) => void
}

export class EndpointLimits {
  readonly totals: LimitTotals = { excluded: 0, sent: 0, withheld: 0 }
  readonly grantRequester: OnDemandRequester
  /** The endpoints that have named a limit, in requests a second. */
  private readonly limits = new Map<string, number>()
  /** The endpoints from which a request was kept. */
  private readonly keptFrom = new WeakMap<Call, Set<string>>()
  private readonly purse: GrantPool

  constructor (private readonly options: EndpointLimitsOptions) {
    this.purse = options.grantPool
    this.grantRequester = new OnDemandRequester(options)
  }

  stop (): void {
    this.grantRequester.stop()
  }

  /** Takes what an endpoint has named, or that it names nothing any more. */
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

  /** Forgets an endpoint that is gone. */
  forget (incarnation: string): void {
    if (!this.limits.delete(incarnation)) return
    this.grantRequester.forget(incarnation)
    this.purse.forget(incarnation)
  }

  /** The limit of an endpoint in requests a second; undefined where it takes any number. */
  limitPerSecond (incarnation: string): number | undefined {
    return this.limits.get(incarnation)
  }

  /** The endpoints that are limited, for the status. */
  limitedEndpoints (): Array<{ endpoint: string, perSecond: number }> {
    return [...this.limits].map(([endpoint, perSecond]) => ({ endpoint, perSecond }))
  }

  get size (): number {
    return this.limits.size
  }

  /** The rule: a limited endpoint is for requests that have a grant, or may ask for one now. */
  readonly rule: EndpointRule = ({ description: { incarnation } }, call) => {
    const perSecond = this.limits.get(incarnation)
    if (perSecond === undefined) return undefined
    const waitMs = this.waitMs(incarnation)
    if (waitMs === 0) return undefined
    this.noteKept(call, incarnation)
    return `${incarnation} takes ${perSecond} requests a second from all boxes; no grant before ${Math.ceil(waitMs)} ms`
  }

  /** In which time a request may have an endpoint, or may ask for that, in ms; 0 where it may now. */
  waitMs (incarnation: string): number {
    if (!this.limits.has(incarnation)) return 0
    return this.purse.countAvailable(incarnation, this.options.now()) > 0 ? 0 : this.grantRequester.waitMs(incarnation)
  }

  /** Whether a request that is to go to an endpoint has to ask for a grant first: it is limited, and none is at hand. */
  needsGrant ({ description: { incarnation } }: EndpointState): boolean {
    return this.limits.has(incarnation) && this.purse.countAvailable(incarnation, this.options.now()) === 0
  }

  /** Asks for a grant for one request; resolves once there is an answer, or none in time. */
  async requestGrant (endpoint: EndpointState): Promise<void> {
    const { incarnation, service } = endpoint.description
    const perSecond = this.limits.get(incarnation)
    await this.grantRequester.requestGrant({ incarnation, service, perSecond, isWarm: !this.options.isCold(endpoint) })
  }

  /** Takes a grant for one request that is sent now; undefined where there is none. */
  takeGrant (incarnation: string): ActiveGrant | undefined {
    const grant = this.purse.takeGrant(incarnation, this.options.now())
    if (grant !== undefined) this.totals.sent += 1
    return grant
  }

  /** What is to be told of a request's choice; empty where no limited endpoint had a part in it. */
  describeExcluded (call: Call): string {
    const kept = this.keptFrom.get(call)
    return kept === undefined ? '' : `; kept from ${kept.size} limited without a grant`
  }

  private noteKept (call: Call, incarnation: string): void {
    const kept = this.keptFrom.get(call)
    if (kept === undefined) this.totals.excluded += 1
    this.keptFrom.set(call, (kept ?? new Set()).add(incarnation))
  }
}
