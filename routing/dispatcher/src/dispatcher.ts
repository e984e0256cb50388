/**
 * The dispatcher of an entry. A request is granted an endpoint at once where a
 * slot is known to be free and nobody of its tier or higher waits for it; else
 * it waits until a sidecar offers a slot. It is bound only then.
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
  /** Binds each request when it arrives, for the baselines. */
  bindEarly?: (candidates: readonly EndpointView[]) => EndpointView | undefined
}

export type GrantResult = Either<Refusal, Grant>

export interface SubmitOptions {
  /** The request ran in part or was turned away by an endpoint: it goes ahead of its organisation's others. */
  atFront?: boolean
}

interface Waiter {
  request: RoutedRequest
  queuedAt: number
  settle: (result: GrantResult) => void
  timer: NodeJS.Timeout | undefined
}

const UPKEEP_MS = 25
const HEALTH_EVERY_MS = 250
const MIN_RETRY_AFTER_MS = 1000
/** The queue may grow to so many times its limit rather than break off an answer. */
const RESUMED_ROOM_FACTOR = 2

export class Dispatcher {
  readonly directory: EndpointDirectory
  readonly health = new HealthMonitor()
  /** Emits the name of an endpoint that is put aside, so that its streams go on elsewhere. */
  readonly ejections = new EventEmitter().setMaxListeners(0)
  private readonly queue = new FairQueue<RoutedRequest>()
  private readonly waiters = new Map<string, Waiter>()
  private readonly demand: DemandSender
  private readonly preemption: PreemptionPlanner
  private readonly estimate = new WaitEstimator()
  private readonly costs = new RunCosts()
  private timer: NodeJS.Timeout | undefined
  private healthCheckedAt = 0
  private stopping = false

  constructor (private readonly options: DispatcherOptions) {
    this.directory = new EndpointDirectory(options.records)
    this.demand = new DemandSender(() => this.demands(), () => this.directory.ports(), (port) => this.directory.endpointCount(port))
    this.preemption = new PreemptionPlanner(options.dataCentre)
  }

  start (): void {
    this.timer = setInterval(() => this.upkeep(), UPKEEP_MS)
  }

  /** Refuses what still waits. */
  stop (): void {
    this.stopping = true
    clearInterval(this.timer)
    this.demand.stop()
    for (const waiter of [...this.waiters.values()]) {
      this.refuse(waiter, { reason: 'stopping', explanation: 'this entry is stopping', retryAfterMs: MIN_RETRY_AFTER_MS })
    }
  }

  get queuedCount (): number {
    return this.queue.size
  }

  /** Whether a request waits, and behind how many of its tier or a higher one. */
  findQueuePosition (request: RoutedRequest): number | undefined {
    if (!this.waiters.has(request.id)) return undefined
    return this.queue.countAhead(request.tier, this.sharingGroups(request)) - 1
  }

  /** Waiting requests by class. */
  countQueuedByClass (): Map<string, number> {
    const counts = new Map<string, number>()
    for (const summary of this.queue.summaries()) {
      counts.set(summary.class, (counts.get(summary.class) ?? 0) + summary.count)
    }
    return counts
  }

  /** Gives a request an endpoint, now or later, or refuses it. A refused request was not run. */
  submit (request: RoutedRequest, options: SubmitOptions = {}): Promise<GrantResult> {
    const now = performance.now()
    if (this.stopping) return Promise.resolve(Left({ reason: 'stopping', explanation: 'this entry is stopping', retryAfterMs: MIN_RETRY_AFTER_MS }))
    this.estimate.recordArrival(request.tier, now)
    const granted = this.grantNow(request)
    if (granted !== undefined) return Promise.resolve(Right(granted))
    const tooLong = options.atFront === true ? undefined : this.refuseEarly(request, now)
    if (tooLong !== undefined) return Promise.resolve(Left(tooLong))
    return this.enqueue(request, options)
  }

  /** Takes back a request whose caller has gone. */
  cancel (request: RoutedRequest): void {
    const waiter = this.waiters.get(request.id)
    if (waiter === undefined) return
    this.refuse(waiter, { reason: 'cancelled', explanation: 'the caller has gone', retryAfterMs: 0 })
  }

  /** A sidecar offers a free slot; it goes to whichever request is best by now. */
  handleOffer (port: SidecarPort, offer: Offer): void {
    this.demand.recordOffer(port, offer.class)
    const view = this.directory.get(offer.endpoint)
    const request = view?.sidecar === port ? this.bestFor(view, offer) : undefined
    if (view === undefined || request === undefined) {
      port.sendPass(offer.offerId)
      this.demand.schedule()
      return
    }
    const waiter = this.waiters.get(request.id)
    if (waiter === undefined) return
    this.leaveQueue(waiter)
    const why = offer.floor ? `offered for the floor of ${offer.class}` : 'offered, best waiting'
    waiter.settle(Right(this.grant(request, view, why, offer.offerId, waiter.queuedAt)))
    this.demand.schedule()
  }

  /** Must be called once for every grant when the attempt has ended. */
  completeGrant (grant: Grant, inTime: boolean): void {
    const view = this.directory.get(grant.endpoint)
    if (view?.sidecar === grant.sidecar) {
      view.outstanding -= 1
      view.isProbing = false
      if (!this.bindsEarly && view.load.spare < view.load.limit) view.load.spare += 1
    }
    if (inTime) this.health.recordSuccess(grant.endpoint)
    else this.health.recordProbeFailure(grant.endpoint)
    const { request } = grant
    const correction = this.costs.recordActual(request.class, performance.now() - grant.grantedAt)
    this.queue.charge(request.tier, request.organisation, request.weight, correction)
  }

  /** An endpoint had no slot after all; none is assumed until it reports one. */
  recordBusy (endpoint: string): void {
    const view = this.directory.get(endpoint)
    if (view !== undefined) view.load.spare = 0
  }

  setEndpoints (port: SidecarPort, endpoints: readonly EndpointDescription[], leaving: boolean): void {
    this.directory.setEndpoints(port, endpoints, leaving)
    this.demand.schedule()
  }

  removeSidecar (port: SidecarPort): void {
    this.directory.removeSidecar(port)
    this.demand.removeSidecar(port)
  }

  updateLoad (port: SidecarPort, loads: readonly EndpointLoad[]): void {
    for (const load of loads) this.directory.updateLoad(port, load)
  }

  /** Must be called when records have changed. */
  handleRecordsChange (): void {
    this.directory.clearReachCache()
    this.demand.schedule()
  }

  /** The endpoints a request may use at this moment. */
  listUsableEndpoints (request: RoutedRequest): EndpointView[] {
    const reach = this.directory.findReachableEndpoints(request)
    const fit = reach.filter((view) => this.isUsable(view))
    const fresh = fit.filter((view) => !request.avoidedEndpoints.has(view.description.name))
    return fresh.length > 0 ? fresh : fit
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
    if (this.queue.hasWaiting(request.tier, this.sharingGroups(request))) return undefined
    const chosen = chooseEndpointWithSpareSlot(this.listUsableEndpoints(request), this.options.dataCentre)
    return chosen === undefined ? undefined : this.grant(request, chosen, 'slot known free')
  }

  private grant (request: RoutedRequest, view: EndpointView, why: string, offerId?: string, queuedAt?: number): Grant {
    const now = performance.now()
    view.outstanding += 1
    view.isProbing = this.health.state(view.description.name) === 'probing'
    if (offerId === undefined) view.load.spare = Math.max(0, view.load.spare - 1)
    this.estimate.recordGrant(request.tier, now)
    this.queue.charge(request.tier, request.organisation, request.weight, this.costs.estimate(request.class))
    const queuedMs = queuedAt === undefined ? 0 : now - queuedAt
    return { request, endpoint: view.description.name, sidecar: view.sidecar, offerId, queuedMs, grantedAt: now, reason: why }
  }

  private refuseEarly (request: RoutedRequest, now: number): Refusal | undefined {
    if (request.late !== 'refuse') return undefined
    const resting = refuseDuringBackoff(request, this.directory.findReachableEndpoints(request), now)
    if (resting !== undefined) return { ...resting, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, resting.retryAfterMs) }
    const ahead = this.queue.countAhead(request.tier, this.sharingGroups(request))
    const waitMs = this.estimate.estimateMs(request.tier, request.floor, ahead, now)
    if (waitMs === undefined || waitMs <= request.maxWaitMs) return undefined
    return {
      reason: 'wait-too-long',
      explanation: `${ahead} ahead, about ${Math.round(waitMs)} ms, more than ${request.maxWaitMs} ms`,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs - request.maxWaitMs)
    }
  }

  private enqueue (request: RoutedRequest, options: SubmitOptions): Promise<GrantResult> {
    // A request that comes back has been admitted before.
    const isFull = options.atFront !== true && this.queue.unstartedSize >= this.options.maxQueued
    const shed = isFull ? this.makeRoom(request) : undefined
    if (shed !== undefined) return Promise.resolve(Left(shed))
    return new Promise((resolve) => {
      const waiter: Waiter = { request, queuedAt: performance.now(), settle: resolve, timer: undefined }
      if (request.late === 'refuse') waiter.timer = setTimeout(() => this.expire(waiter), this.waitLeft(request))
      this.waiters.set(request.id, waiter)
      this.queue.push(request, options)
      this.demand.schedule()
    })
  }

  private waitLeft (request: RoutedRequest): number {
    return Math.max(0, request.arrivedAt + request.maxWaitMs - performance.now())
  }

  /**
   * Sheds the lowest tier present; the arrival itself only if nothing lower waits. An answer that has begun
   * is broken off for it only when the queue has grown well over its limit.
   */
  private makeRoom (request: RoutedRequest): Refusal | undefined {
    const victim = this.queue.findVictim()
    const refusal: Refusal = { reason: 'queue-full', explanation: `${this.queue.size} requests wait`, retryAfterMs: MIN_RETRY_AFTER_MS }
    if (victim === undefined || victim.item.tier <= request.tier) return refusal
    const mayGrow = victim.isResumed && this.queue.size < this.options.maxQueued * RESUMED_ROOM_FACTOR
    if (mayGrow) return undefined
    const waiter = this.waiters.get(victim.item.id)
    if (waiter !== undefined) this.refuse(waiter, { ...refusal, explanation: `shed for a request of tier ${request.tier}` })
    return undefined
  }

  private expire (waiter: Waiter): void {
    const { request } = waiter
    const retryAfterMs = Math.max(
      MIN_RETRY_AFTER_MS, computeRemainingBackoffMs(this.directory.findReachableEndpoints(request), performance.now())
    )
    this.refuse(waiter, { reason: 'wait-passed', explanation: `no endpoint within ${request.maxWaitMs} ms`, retryAfterMs })
  }

  private refuse (waiter: Waiter, refusal: Refusal): void {
    this.leaveQueue(waiter)
    waiter.settle(Left(refusal))
    this.demand.schedule()
  }

  private leaveQueue (waiter: Waiter): void {
    clearTimeout(waiter.timer)
    this.waiters.delete(waiter.request.id)
    this.queue.remove(waiter.request)
  }

  private bestFor (view: EndpointView, offer: Offer): RoutedRequest | undefined {
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

  /** The groups that compete with a request for at least one endpoint. */
  private sharingGroups (request: RoutedRequest): Set<string> {
    const reach = new Set(this.directory.findReachableEndpoints(request))
    const sharing = new Set<string>()
    for (const sample of this.queue.groupSamples()) {
      if (sample.group === request.group ||
        this.directory.findReachableEndpoints(sample).some((view) => reach.has(view))) sharing.add(sample.group)
    }
    return sharing
  }

  private demands (): GroupDemand[] {
    return this.queue.summaries().map((summary) => {
      const endpoints = this.directory.findReachableEndpoints(summary.sample).filter((view) => this.isUsable(view))
      return { ...summary, endpoints }
    })
  }

  private upkeep (): void {
    const now = performance.now()
    if (this.queue.size > 0) {
      this.preemption.plan(this.demands(), now)
    }
    if (now - this.healthCheckedAt >= HEALTH_EVERY_MS && !this.bindsEarly) {
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
