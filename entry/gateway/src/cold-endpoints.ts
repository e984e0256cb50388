/**
 * Limits the requests that cold endpoints receive to those that control has granted, and requests grants from control while
 * this box has requests that a cold endpoint could serve. A box without a grant sends nothing to cold endpoints, even if it is
 * disconnected from control.
 */
import { type ColdLimit } from '@gullwall/config.document'
import { type KnownLease } from '@gullwall/control.registry'
import { type Logger } from '@gullwall/core.logger'
import { type EndpointState, hashName } from '@gullwall/routing.balancer'
import { type Grant, type GrantRequest } from '@gullwall/transport.messages'
import { type Call } from './call.ts'
import { GrantRequester } from './grant-requester.ts'
import { type GrantPool } from './grant-pool.ts'
import { type EndpointRule } from './eligibility.ts'
import { RAMP_MS, rampShare, WarmUpState } from './warm-up-state.ts'

/** Endpoints that are found within this time after the first endpoint of their service are assumed to have run before, in ms. */
const DISCOVERY_MS = 1000
/** Interval at which the state of endpoints without a lease is removed, in ms. */
const SWEEP_MS = 5000
/** Number of different ranks: a rank has 32 bits. */
const RANK_COUNT = 2 ** 32

export interface ColdEndpointsOptions {
  box: string
  logger: Logger
  leaseOf: (incarnation: string) => KnownLease | undefined
  /** The request limit for the cold endpoints of a service; undefined if they can serve as many requests as warm ones. */
  coldLimitOf: (service: string) => ColdLimit | undefined
  /** Returns all known endpoints. */
  endpoints: () => readonly EndpointState[]
  /** Returns the number of entries in the deployment. */
  entryCount: () => number
  /** Requests grants from control. */
  requestGrants: (requests: GrantRequest[]) => Promise<Grant[]>
  /** Wakes the requests that wait for an endpoint. */
  wake: () => void
  /** The grants of this box, both for cold endpoints and for endpoints with a rate limit. */
  grantPool: GrantPool
  /** The rate limit that an endpoint has advertised, in requests a second; undefined if it has none. */
  advertisedLimitOf?: (incarnation: string) => number | undefined
  now?: () => number
}

/** Counters since the start, for the metrics. */
export interface ColdTotals {
  /** Requests for which a cold endpoint was excluded at least once. */
  excluded: number
  /** Requests sent to cold endpoints under a grant. */
  sent: number
}

export class ColdEndpoints {
  readonly totals: ColdTotals = { excluded: 0, sent: 0 }
  readonly grantRequester: GrantRequester
  private readonly grantPool: GrantPool
  /** Whether each endpoint is cold, by incarnation. */
  private readonly states = new Map<string, WarmUpState>()
  /** When the first endpoint of each service was found. */
  private readonly discoveredAt = new Map<string, number>()
  /** The incarnations of the cold endpoints that were excluded for each request. */
  private readonly excluded = new WeakMap<Call, Set<string>>()
  /** When the rate limit of an endpoint ended, by incarnation. */
  private readonly reopenedAt = new Map<string, number>()
  /** When the latest ramp-up of an endpoint that turned warm, or whose rate limit ended, is complete. */
  private rampEndsAt = -Infinity
  private readonly now: () => number
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: ColdEndpointsOptions) {
    this.now = options.now ?? (() => performance.now())
    const { box, logger, requestGrants, wake, entryCount, grantPool, advertisedLimitOf } = options
    this.grantPool = grantPool
    this.grantRequester = new GrantRequester({ box, logger, requestGrants, wake, entryCount, advertisedLimitOf, now: this.now, grantPool })
  }

  start (): void {
    this.timer = setInterval(() => this.sweep(), SWEEP_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    this.grantRequester.stop()
  }

  /** Excludes cold endpoints while this box has no grant for them, and requests one. */
  readonly rule: EndpointRule = (endpoint, call) => {
    const now = this.now()
    const state = this.updateState(endpoint, now)
    if (state?.isCold !== true) return undefined
    const { incarnation, service } = endpoint.description
    this.grantRequester.recordRequest(service, call)
    if (this.grantPool.countAvailable(incarnation, now) > 0) return undefined
    this.grantRequester.requestGrant({ incarnation, service })
    this.recordExcluded(call, incarnation)
    return `cold, and no grant is available (${state.reason})`
  }

  /** Starts the ramp-up of an endpoint whose rate limit has ended. */
  recordReopened (incarnation: string): void {
    const now = this.now()
    this.reopenedAt.set(incarnation, now)
    this.rampEndsAt = now + RAMP_MS
  }

  /**
   * Selects from the eligible endpoints of a request. Endpoints that have just turned warm, or whose rate limit has just ended,
   * are selected for a growing share of the requests.
   */
  selectPreferred (endpoints: readonly EndpointState[], call: Call): readonly EndpointState[] {
    const now = this.now()
    if (now >= this.rampEndsAt) return endpoints
    const draw = hashName(call.requestId) / RANK_COUNT
    const selected = endpoints.filter(({ description: { incarnation } }) => {
      const state = this.states.get(incarnation)
      const isWarmEnough = state === undefined || state.isCold || draw < state.shareAt(now)
      return isWarmEnough && draw < rampShare(this.reopenedAt.get(incarnation), now)
    })
    // If most endpoints are ramping up, the remaining few could not serve all requests.
    return 2 * selected.length >= endpoints.length ? selected : endpoints
  }

  /** Whether an endpoint receives requests only under a grant. */
  isCold (endpoint: EndpointState): boolean {
    return this.updateState(endpoint, this.now())?.isCold === true
  }

  /** Uses a grant for a request that is about to be sent. Returns false if the endpoint is cold and no grant is left. */
  tryTakeGrant (endpoint: EndpointState): boolean {
    const now = this.now()
    if (this.updateState(endpoint, now)?.isCold !== true) return true
    if (!this.grantPool.tryTake(endpoint.description.incarnation, now)) return false
    this.totals.sent += 1
    return true
  }

  /** Describes for the log how many cold endpoints were excluded for a request; empty if none were. */
  describeExcluded (call: Call): string {
    const excluded = this.excluded.get(call)
    return excluded === undefined ? '' : `; excluded cold endpoints without a grant: ${excluded.size}`
  }

  /**
   * Assumes that the endpoints of a data centre are cold, since they received no requests for a while. Reports that were sent
   * before are ignored.
   */
  assumeCold (dataCentre: string, now = this.now()): void {
    for (const endpoint of this.options.endpoints()) {
      const { description } = endpoint
      const startMs = description.dataCentre === dataCentre ? this.options.coldLimitOf(description.service)?.startMs : undefined
      if (startMs === undefined) continue
      this.updateState(endpoint, now)
      this.states.get(description.incarnation)?.assumeCold({ since: now, until: now + startMs, reason: 'no requests to its data centre' })
    }
  }

  /** The number of endpoints that are cold, as far as this box knows. */
  get coldCount (): number {
    const now = this.now()
    return [...this.states.values()].filter(({ coldUntil }) => now < coldUntil).length
  }

  /** Updates the state of an endpoint from its lease; undefined if it has no lease or its service has no limit for cold endpoints. */
  private updateState ({ description }: EndpointState, now: number): WarmUpState | undefined {
    const { incarnation, service } = description
    const limit = this.options.coldLimitOf(service)
    if (limit === undefined) return undefined
    const lease = this.options.leaseOf(incarnation)
    if (lease === undefined) return undefined
    const state = this.states.get(incarnation) ?? this.createState(lease, limit, now)
    if (!state.update(lease, now)) return state
    this.logTransition(lease, state, now)
    if (!state.isCold) this.rampEndsAt = now + RAMP_MS
    return state
  }

  /**
   * Creates the state of an endpoint that was not known before. An endpoint that is found later than others of its service has
   * probably just started, so it is assumed to be cold unless it reports its cold time.
   */
  private createState ({ incarnation, service, coldMs }: KnownLease, { startMs }: ColdLimit, now: number): WarmUpState {
    const state = new WarmUpState()
    this.states.set(incarnation, state)
    const discoveredAt = this.discoveredAt.get(service) ?? now
    this.discoveredAt.set(service, discoveredAt)
    const isNew = now - discoveredAt > DISCOVERY_MS
    if (isNew && coldMs === undefined) state.assumeCold({ since: now, until: now + startMs, reason: 'it is new and reports no cold time' })
    return state
  }

  private recordExcluded (call: Call, incarnation: string): void {
    const excluded = this.excluded.get(call)
    if (excluded !== undefined) {
      excluded.add(incarnation)
      return
    }
    this.excluded.set(call, new Set([incarnation]))
    this.totals.excluded += 1
  }

  private sweep (): void {
    const now = this.now()
    for (const [incarnation, at] of this.reopenedAt) if (now - at > RAMP_MS) this.reopenedAt.delete(incarnation)
    for (const incarnation of this.states.keys()) {
      if (this.options.leaseOf(incarnation) !== undefined) continue
      this.states.delete(incarnation)
      this.grantPool.forget(incarnation)
      this.grantRequester.forget(incarnation)
    }
  }

  private logTransition ({ incarnation, service, receivedAt }: KnownLease, { isCold, reason, coldUntil }: WarmUpState, now: number): void {
    const age = `last report ${Math.round(now - receivedAt)} ms old`
    const change = isCold ? `cold for another ${Math.round(coldUntil - now)} ms: ${reason}` : `its cold time is over, ${age}`
    this.options.logger.info({ channel: 'endpoint', event: isCold ? 'cold' : 'warm', endpoint: incarnation, why: `${service}: ${change}` })
  }
}
