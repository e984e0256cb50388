/**
 * The dispatcher of an entry. A request is assigned an endpoint at once if a slot is known to be free and no request of the same
 * or a higher tier waits for it. Otherwise it waits until a sidecar offers a slot, and is bound to an endpoint only then.
 */
import { EventEmitter } from 'node:events'
import { Either, Left, Right } from 'purify-ts'
import { type Logger } from '@gullwall/core.logger'
import { type EndpointDescription, type EndpointLoad } from '@gullwall/core.types'
import { type RecordMap } from '@gullwall/config.records'
import { FairQueue } from '@gullwall/routing.fair-queue'
import { HealthMonitor } from '@gullwall/routing.health'
import { DemandSender, type GroupDemand } from './demand-sender.ts'
import { EndpointDirectory } from './endpoint-directory.ts'
import { PreemptionPlanner } from './preemption.ts'
import { RunCosts } from './run-costs.ts'
import { refuseDuringBackoff, computeRemainingBackoffMs } from './requested-backoff.ts'
import { chooseEndpointWithSpareSlot } from './spare-slot-choice.ts'
import { WaitEstimator } from './wait-estimator.ts'
import { type EndpointView, type Grant, type Offer, type Refusal, type RoutedRequest, type SidecarPort } from './types.ts'

export interface DispatcherOptions {
  dataCentre: string
  records: RecordMap
  logger: Logger
  maxQueued: number
  /** Chooses an endpoint when a request arrives, instead of waiting for a free slot. Used to measure baselines. */
  bindEarly?: (candidates: readonly EndpointView[]) => EndpointView | undefined
}

export type GrantResult = Either<Refusal, Grant>

export interface SubmitOptions {
  /** Queues the request ahead of its organisation's others: it ran in part or was rejected by an endpoint. */
  atFront?: boolean
}

interface Waiter {
  request: RoutedRequest
  queuedAt: number
  settle: (result: GrantResult) => void
  timer: NodeJS.Timeout | undefined
}

const MAINTENANCE_INTERVAL_MS = 25
const HEALTH_CHECK_INTERVAL_MS = 250
const MIN_RETRY_AFTER_MS = 1000
/** The queue may grow to this multiple of its limit before a request that ran in part is shed. */
const MAX_QUEUE_GROWTH_FACTOR = 2

export class Dispatcher {
  readonly directory: EndpointDirectory
  readonly health = new HealthMonitor()
  /** Emits the name of each ejected endpoint, so that its streams resume elsewhere. */
  readonly ejections = new EventEmitter().setMaxListeners(0)
  private readonly queue = new FairQueue<RoutedRequest>()
  private readonly waiters = new Map<string, Waiter>()
  private readonly demand: DemandSender
  private readonly preemption: PreemptionPlanner
  private readonly waitEstimate = new WaitEstimator()
  private readonly costs = new RunCosts()
  private timer: NodeJS.Timeout | undefined
  private healthCheckedAt = 0
  private isStopping = false

  constructor (private readonly options: DispatcherOptions) {
    this.directory = new EndpointDirectory(options.records)
    this.demand = new DemandSender(() => this.listDemands(), () => this.directory.ports(), (port) => this.directory.endpointCount(port))
    this.preemption = new PreemptionPlanner(options.dataCentre)
  }

  start (): void {
    this.timer = setInterval(() => this.runMaintenance(), MAINTENANCE_INTERVAL_MS)
  }

  /** Refuses all waiting requests. */
  stop (): void {
    this.isStopping = true
    clearInterval(this.timer)
    this.demand.stop()
    for (const waiter of [...this.waiters.values()]) {
      this.refuse(waiter, { reason: 'stopping', explanation: 'this entry is stopping', retryAfterMs: MIN_RETRY_AFTER_MS })
    }
  }

  get queuedCount (): number {
    return this.queue.size
  }

  /** Counts the requests of the same or a higher tier ahead of a request; undefined if the request is not waiting. */
  findQueuePosition (request: RoutedRequest): number | undefined {
    if (!this.waiters.has(request.id)) return undefined
    return this.queue.countAhead(request.tier, this.findCompetingGroups(request)) - 1
  }

  /** The number of waiting requests by class. */
  countQueuedByClass (): Map<string, number> {
    const counts = new Map<string, number>()
    for (const summary of this.queue.summaries()) {
      counts.set(summary.class, (counts.get(summary.class) ?? 0) + summary.count)
    }
    return counts
  }

  /** Resolves with an endpoint for a request, or with a refusal. A refused request was not run. */
  submit (request: RoutedRequest, options: SubmitOptions = {}): Promise<GrantResult> {
    const now = performance.now()
    if (this.isStopping) return Promise.resolve(Left({ reason: 'stopping', explanation: 'this entry is stopping', retryAfterMs: MIN_RETRY_AFTER_MS }))
    this.waitEstimate.recordArrival(request.tier, now)
    const granted = this.grantNow(request)
    if (granted !== undefined) return Promise.resolve(Right(granted))
    const earlyRefusal = options.atFront === true ? undefined : this.refuseEarly(request, now)
    if (earlyRefusal !== undefined) return Promise.resolve(Left(earlyRefusal))
    return this.enqueue(request, options)
  }

  /** Cancels a waiting request whose caller has disconnected. */
  cancel (request: RoutedRequest): void {
    const waiter = this.waiters.get(request.id)
    if (waiter === undefined) return
    this.refuse(waiter, { reason: 'cancelled', explanation: 'the caller disconnected', retryAfterMs: 0 })
  }

  /** Handles a sidecar's offer of a free slot: the best waiting request takes it, or the offer is declined. */
  handleOffer (port: SidecarPort, offer: Offer): void {
    this.demand.recordOffer(port, offer.class)
    const view = this.directory.get(offer.endpoint)
    const request = view?.sidecar === port ? this.findBestRequest(view, offer) : undefined
    if (view === undefined || request === undefined) {
      port.sendPass(offer.offerId)
      this.demand.schedule()
      return
    }
    const waiter = this.waiters.get(request.id)
    if (waiter === undefined) return
    this.removeFromQueue(waiter)
    const reason = offer.floor ? `slot offered for the floor of ${offer.class}` : 'slot offered; best waiting request'
    waiter.settle(Right(this.grant(request, view, reason, offer.offerId, waiter.queuedAt)))
    this.demand.schedule()
  }

  /** Ends a grant. It must be called exactly once for each grant, when the attempt has ended. */
  completeGrant (grant: Grant, hasSucceeded: boolean): void {
    const view = this.directory.get(grant.endpoint)
    if (view?.sidecar === grant.sidecar) {
      view.outstanding -= 1
      view.isProbing = false
      if (!this.bindsEarly && view.load.spare < view.load.limit) view.load.spare += 1
    }
    if (hasSucceeded) this.health.recordSuccess(grant.endpoint)
    else this.health.recordProbeFailure(grant.endpoint)
    const { request } = grant
    const correction = this.costs.recordActual(request.class, performance.now() - grant.grantedAt)
    this.queue.charge(request.tier, request.organisation, request.weight, correction)
  }

  /** Records that an endpoint had no free slot. None is assumed until its next load report. */
  recordBusy (endpoint: string): void {
    const view = this.directory.get(endpoint)
    if (view !== undefined) view.load.spare = 0
  }

  /** Replaces the endpoints of a sidecar, which receive no new requests if it is leaving. */
  setEndpoints (port: SidecarPort, endpoints: readonly EndpointDescription[], isLeaving: boolean): void {
    this.directory.setEndpoints(port, endpoints, isLeaving)
    this.demand.schedule()
  }

  removeSidecar (port: SidecarPort): void {
    this.directory.removeSidecar(port)
    this.demand.removeSidecar(port)
  }

  updateLoad (port: SidecarPort, loads: readonly EndpointLoad[]): void {
    for (const load of loads) this.directory.updateLoad(port, load)
  }

  /** Applies changed records. It must be called after each change. */
  handleRecordsChange (): void {
    this.directory.clearReachCache()
    this.demand.schedule()
  }

  /** Returns the reachable endpoints that are healthy or may be probed, preferably those that have not failed the request. */
  listUsableEndpoints (request: RoutedRequest): EndpointView[] {
    const reachable = this.directory.findReachableEndpoints(request)
    const healthy = reachable.filter((view) => this.isUsable(view))
    const preferred = healthy.filter((view) => !request.avoidedEndpoints.has(view.description.name))
    return preferred.length > 0 ? preferred : healthy
  }

  private get bindsEarly (): boolean {
    return this.options.bindEarly !== undefined
  }

  private isUsable (view: EndpointView): boolean {
    switch (this.health.state(view.description.name)) {
      case 'healthy': return true
      case 'ejected': return false
      case 'probing': return !view.isProbing
    }
  }

  private grantNow (request: RoutedRequest): Grant | undefined {
    if (this.options.bindEarly !== undefined) {
      const chosen = this.options.bindEarly(this.directory.findReachableEndpoints(request))
      return chosen === undefined ? undefined : this.grant(request, chosen, 'bound on arrival')
    }
    if (this.queue.hasWaiting(request.tier, this.findCompetingGroups(request))) return undefined
    const chosen = chooseEndpointWithSpareSlot(this.listUsableEndpoints(request), this.options.dataCentre)
    return chosen === undefined ? undefined : this.grant(request, chosen, 'slot known to be free')
  }

  private grant (request: RoutedRequest, view: EndpointView, reason: string, offerId?: string, queuedAt?: number): Grant {
    const now = performance.now()
    view.outstanding += 1
    view.isProbing = this.health.state(view.description.name) === 'probing'
    if (offerId === undefined) view.load.spare = Math.max(0, view.load.spare - 1)
    this.waitEstimate.recordGrant(request.tier, now)
    this.queue.charge(request.tier, request.organisation, request.weight, this.costs.estimate(request.class))
    const queuedMs = queuedAt === undefined ? 0 : now - queuedAt
    return { request, endpoint: view.description.name, sidecar: view.sidecar, offerId, queuedMs, grantedAt: now, reason }
  }

  private refuseEarly (request: RoutedRequest, now: number): Refusal | undefined {
    if (request.late !== 'refuse') return undefined
    const refusal = refuseDuringBackoff(request, this.directory.findReachableEndpoints(request), now)
    if (refusal !== undefined) return { ...refusal, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, refusal.retryAfterMs) }
    const ahead = this.queue.countAhead(request.tier, this.findCompetingGroups(request))
    const waitMs = this.waitEstimate.estimateMs(request.tier, request.floor, ahead, now)
    if (waitMs === undefined || waitMs <= request.maxWaitMs) return undefined
    return {
      reason: 'wait-too-long',
      explanation: `${ahead} requests ahead; estimated wait ${Math.round(waitMs)} ms, limit ${request.maxWaitMs} ms`,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs - request.maxWaitMs)
    }
  }

  private enqueue (request: RoutedRequest, options: SubmitOptions): Promise<GrantResult> {
    // A resubmitted request has been admitted before and is not subject to the queue limit.
    const isFull = options.atFront !== true && this.queue.unstartedSize >= this.options.maxQueued
    const refusal = isFull ? this.shedForArrival(request) : undefined
    if (refusal !== undefined) return Promise.resolve(Left(refusal))
    return new Promise((resolve) => {
      const waiter: Waiter = { request, queuedAt: performance.now(), settle: resolve, timer: undefined }
      if (request.late === 'refuse') waiter.timer = setTimeout(() => this.expire(waiter), this.computeRemainingWaitMs(request))
      this.waiters.set(request.id, waiter)
      this.queue.push(request, options)
      this.demand.schedule()
    })
  }

  private computeRemainingWaitMs (request: RoutedRequest): number {
    return Math.max(0, request.arrivedAt + request.maxWaitMs - performance.now())
  }

  /**
   * Sheds a waiting request of the lowest tier, or refuses the arriving request if none of a lower tier waits. A request that
   * ran in part is shed only at {@link MAX_QUEUE_GROWTH_FACTOR} times the queue's limit; until then the queue grows instead.
   */
  private shedForArrival (request: RoutedRequest): Refusal | undefined {
    const victim = this.queue.findVictim()
    const refusal: Refusal = { reason: 'queue-full', explanation: `${this.queue.size} requests are waiting`, retryAfterMs: MIN_RETRY_AFTER_MS }
    if (victim === undefined || victim.item.tier <= request.tier) return refusal
    const canGrow = victim.isResumed && this.queue.size < this.options.maxQueued * MAX_QUEUE_GROWTH_FACTOR
    if (canGrow) return undefined
    const waiter = this.waiters.get(victim.item.id)
    if (waiter !== undefined) this.refuse(waiter, { ...refusal, explanation: `shed for a request of tier ${request.tier}` })
    return undefined
  }

  private expire (waiter: Waiter): void {
    const { request } = waiter
    const retryAfterMs = Math.max(
      MIN_RETRY_AFTER_MS, computeRemainingBackoffMs(this.directory.findReachableEndpoints(request), performance.now())
    )
    this.refuse(waiter, { reason: 'wait-passed', explanation: `no endpoint became available within ${request.maxWaitMs} ms`, retryAfterMs })
  }

  private refuse (waiter: Waiter, refusal: Refusal): void {
    this.removeFromQueue(waiter)
    waiter.settle(Left(refusal))
    this.demand.schedule()
  }

  private removeFromQueue (waiter: Waiter): void {
    clearTimeout(waiter.timer)
    this.waiters.delete(waiter.request.id)
    this.queue.remove(waiter.request)
  }

  private findBestRequest (view: EndpointView, offer: Offer): RoutedRequest | undefined {
    if (!this.isUsable(view)) return undefined
    const name = view.description.name
    const groups = this.queue.groupSamples().filter((sample) => {
      const fits = offer.floor ? sample.class === offer.class : sample.tier <= offer.tier
      return fits && this.directory.findReachableEndpoints(sample).includes(view)
    })
    const best = this.queue.peek(groups.map((sample) => sample.group))
    if (best === undefined) return undefined
    const isAvoided = best.avoidedEndpoints.has(name) &&
      this.listUsableEndpoints(best).some((other) => !best.avoidedEndpoints.has(other.description.name))
    return isAvoided ? undefined : best
  }

  /** Returns the groups that compete with a request for at least one endpoint. */
  private findCompetingGroups (request: RoutedRequest): Set<string> {
    const reachable = new Set(this.directory.findReachableEndpoints(request))
    const competing = new Set<string>()
    for (const sample of this.queue.groupSamples()) {
      if (sample.group === request.group ||
        this.directory.findReachableEndpoints(sample).some((view) => reachable.has(view))) competing.add(sample.group)
    }
    return competing
  }

  private listDemands (): GroupDemand[] {
    return this.queue.summaries().map((summary) => {
      const endpoints = this.directory.findReachableEndpoints(summary.sample).filter((view) => this.isUsable(view))
      return { ...summary, endpoints }
    })
  }

  private runMaintenance (): void {
    const now = performance.now()
    if (this.queue.size > 0) {
      this.preemption.plan(this.listDemands(), now)
    }
    if (now - this.healthCheckedAt >= HEALTH_CHECK_INTERVAL_MS && !this.bindsEarly) {
      this.healthCheckedAt = now
      this.checkHealth(now)
    }
  }

  private checkHealth (now: number): void {
    const samples = [...this.directory.all()].map((view) => ({
      name: view.description.name,
      peerGroup: `${view.description.kind}/${view.description.serves}/${view.sidecar.dataCentre}`,
      tokenGapMs: view.load.tokenGapMs,
      firstTokenMs: view.load.firstTokenMs,
      failuresInRow: view.load.failuresInRow
    }))
    const changes = this.health.evaluate(samples, now)
    for (const { endpoint, state, reason } of changes) {
      const event = state === 'healthy' ? 'readmitted' : state
      this.options.logger.info({ channel: 'endpoint', endpoint, event, why: reason })
      if (state === 'ejected') this.ejections.emit(endpoint)
    }
    if (changes.length > 0) this.demand.schedule()
  }
}
