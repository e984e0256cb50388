/**
 * Keeps requests from cold endpoints but for those that control has granted, and asks control for grants where this box has
 * requests that a cold endpoint could have. A box without a grant sends nothing there, also one that is cut off.
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

/** Endpoints that are met so soon after the first request of their service were there before it, in ms. */
const FIRST_LOOK_MS = 1000
/** How often endpoints without a lease are forgotten, in ms. */
const SWEEP_MS = 5000
/** `rankOf` gives 32 bits. */
const RANKS = 2 ** 32

export interface ColdEndpointsOptions {
  box: string
  logger: Logger
  leaseOf: (incarnation: string) => KnownLease | undefined
  /** What a service says of its cold endpoints; undefined where they bear as much as others. */
  coldLimitOf: (service: string) => ColdLimit | undefined
  /** Every endpoint that is known. */
  endpoints: () => readonly EndpointState[]
  /** How many entries there are. */
  entryCount: () => number
  /** Asks control. */
  requestGrants: (wishes: GrantRequest[]) => Promise<Grant[]>
  /** Has requests that wait for an endpoint look again. */
  wake: () => void
  /** The grants of this box, whatever the reason for which endpoints are bounded. */
  grantPool: GrantPool
  /** The limit that an endpoint has named, in requests a second; undefined where it takes any number. */
  advertisedLimitOf?: (incarnation: string) => number | undefined
  now?: () => number
}

/** What was decided since the start, for the metrics. */
export interface ColdTotals {
  /** Requests that were kept from a cold endpoint at least once. */
  excluded: number
  /** Requests sent to cold endpoints under a grant. */
  sent: number
}

export class ColdEndpoints {
  readonly totals: ColdTotals = { excluded: 0, sent: 0 }
  readonly grantRequester: GrantRequester
  private readonly purse: GrantPool
  private readonly warmths = new Map<string, WarmUpState>()
  private readonly firstLooks = new Map<string, number>()
  /** The endpoints from which a request was kept. */
  private readonly keptFrom = new WeakMap<Call, Set<string>>()
  /** When endpoints were opened again whose limit was over. */
  private readonly reopenedAt = new Map<string, number>()
  /** Until when an endpoint that has turned warm or was opened again gets a share only. */
  private rampsUntil = -Infinity
  private readonly now: () => number
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: ColdEndpointsOptions) {
    this.now = options.now ?? (() => performance.now())
    const { box, logger, requestGrants, wake, entryCount, grantPool, advertisedLimitOf } = options
    this.purse = grantPool
    this.grantRequester = new GrantRequester({ box, logger, requestGrants, wake, entryCount, advertisedLimitOf, now: this.now, grantPool })
  }

  start (): void {
    this.timer = setInterval(() => this.sweep(), SWEEP_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    this.grantRequester.stop()
  }

  /** The rule: a cold endpoint is for requests that have a grant. */
  readonly rule: EndpointRule = (endpoint, call) => {
    const now = this.now()
    const warmth = this.lookAt(endpoint, now)
    if (warmth?.isCold !== true) return undefined
    const { incarnation, service } = endpoint.description
    this.grantRequester.recordRequest(service, call)
    if (this.purse.countAvailable(incarnation, now) > 0) return undefined
    this.grantRequester.requestGrant({ incarnation, service })
    this.noteKept(call, incarnation)
    return `cold, and no grant is at hand (${warmth.why})`
  }

  /** Has an endpoint whose limit is over taken up by a growing share of the requests. */
  recordReopened (incarnation: string): void {
    const now = this.now()
    this.reopenedAt.set(incarnation, now)
    this.rampsUntil = now + RAMP_MS
  }

  /**
   * Those of the endpoints that a request may have that are not to be spared; endpoints that have just turned warm, or were opened
   * again, get a growing share.
   */
  selectPreferred (endpoints: readonly EndpointState[], call: Call): readonly EndpointState[] {
    const now = this.now()
    if (now >= this.rampsUntil) return endpoints
    const draw = hashName(call.requestId) / RANKS
    const settled = endpoints.filter(({ description: { incarnation } }) => {
      const warmth = this.warmths.get(incarnation)
      const isWarmEnough = warmth === undefined || warmth.isCold || draw < warmth.shareAt(now)
      return isWarmEnough && draw < rampShare(this.reopenedAt.get(incarnation), now)
    })
    // Where most have just turned warm, the few others could not take the work of all.
    return 2 * settled.length >= endpoints.length ? settled : endpoints
  }

  /** Whether an endpoint has requests under a grant only. */
  isCold (endpoint: EndpointState): boolean {
    return this.lookAt(endpoint, this.now())?.isCold === true
  }

  /** Takes leave for one request that is sent now; false if its endpoint is cold and another request has used the grant. */
  tryTakeGrant (endpoint: EndpointState): boolean {
    const now = this.now()
    if (this.lookAt(endpoint, now)?.isCold !== true) return true
    if (!this.purse.tryTake(endpoint.description.incarnation, now)) return false
    this.totals.sent += 1
    return true
  }

  /** What is to be told of a request's choice; empty where no cold endpoint had a part in it. */
  describeExcluded (call: Call): string {
    const kept = this.keptFrom.get(call)
    return kept === undefined ? '' : `; kept from ${kept.size} cold without a grant`
  }

  /** Takes the endpoints of a data centre to be cold: nothing was sent there for a while, and their latest word is from before. */
  assumeCold (dataCentre: string, now = this.now()): void {
    for (const endpoint of this.options.endpoints()) {
      const { description } = endpoint
      const startMs = description.dataCentre === dataCentre ? this.options.coldLimitOf(description.service)?.startMs : undefined
      if (startMs === undefined) continue
      this.lookAt(endpoint, now)
      this.warmths.get(description.incarnation)?.assumeCold({ since: now, until: now + startMs, why: 'nothing was sent to its data centre' })
    }
  }

  /** How many endpoints are cold, as this box knows. */
  get coldCount (): number {
    const now = this.now()
    return [...this.warmths.values()].filter(({ coldUntil }) => now < coldUntil).length
  }

  /** Looks at an endpoint whose service spares cold ones; undefined for others. */
  private lookAt ({ description }: EndpointState, now: number): WarmUpState | undefined {
    const { incarnation, service } = description
    const limit = this.options.coldLimitOf(service)
    if (limit === undefined) return undefined
    const lease = this.options.leaseOf(incarnation)
    if (lease === undefined) return undefined
    const warmth = this.warmths.get(incarnation) ?? this.firstMet(lease, limit, now)
    if (!warmth.update(lease, now)) return warmth
    this.logTurn(lease, warmth, now)
    if (!warmth.isCold) this.rampsUntil = now + RAMP_MS
    return warmth
  }

  /** An endpoint that appears during traffic has just started; where it does not say how cold it is, it is taken to be. */
  private firstMet ({ incarnation, service, coldMs }: KnownLease, { startMs }: ColdLimit, now: number): WarmUpState {
    const warmth = new WarmUpState()
    this.warmths.set(incarnation, warmth)
    const firstLook = this.firstLooks.get(service) ?? now
    this.firstLooks.set(service, firstLook)
    const isNew = now - firstLook > FIRST_LOOK_MS
    if (isNew && coldMs === undefined) warmth.assumeCold({ since: now, until: now + startMs, why: 'it appeared during traffic and does not say' })
    return warmth
  }

  private noteKept (call: Call, incarnation: string): void {
    const kept = this.keptFrom.get(call)
    if (kept !== undefined) {
      kept.add(incarnation)
      return
    }
    this.keptFrom.set(call, new Set([incarnation]))
    this.totals.excluded += 1
  }

  private sweep (): void {
    const now = this.now()
    for (const [incarnation, at] of this.reopenedAt) if (now - at > RAMP_MS) this.reopenedAt.delete(incarnation)
    for (const incarnation of this.warmths.keys()) {
      if (this.options.leaseOf(incarnation) !== undefined) continue
      this.warmths.delete(incarnation)
      this.purse.forget(incarnation)
      this.grantRequester.forget(incarnation)
    }
  }

  private logTurn ({ incarnation, service, receivedAt }: KnownLease, { isCold, why, coldUntil }: WarmUpState, now: number): void {
    const age = `word ${Math.round(now - receivedAt)} ms old`
    const what = isCold ? `cold for ${Math.round(coldUntil - now)} ms more: ${why}` : `its cold time is over, ${age}`
    this.options.logger.info({ channel: 'endpoint', event: isCold ? 'cold' : 'warm', endpoint: incarnation, why: `${service}: ${what}` })
  }
}
