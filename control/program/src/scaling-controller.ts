/**
 * Orders endpoints by demand, from the control process that holds the lease. An order is decided in the replicated log before it is
 * sent. After a change of leader the new lease holder continues from the decided order and sends it with its own token until it is
 * answered.
 */
import { type DecideScalingCommand, type ScalingOrder, type ScalingOrders, type ScalingResult } from '@gullwall/control.state'
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { counter, gauge, type Counter, type Gauge, type Registry } from '@gullwall/core.metrics'
import { CallRateLimiter } from './call-rate-limiter.ts'
import { type LeaderLease, type AcquiredLease } from './leader-lease.ts'
import { OrderCallTracker } from './order-call-tracker.ts'
import { type ObservedDemand } from './scaling-demand.ts'
import { ScalingPolicy } from './scaling-policy.ts'
import { type ScalingSink } from './scaling-sink.ts'
import { type DeliveryOutcome } from './usage-sink.ts'

export interface ScalingControllerOptions {
  lease: Pick<LeaderLease, 'acquire' | 'isValid' | 'recordRefusedToken' | 'observeTerm'>
  orders: Pick<ScalingOrders, 'of'>
  /** Decides an order in the replicated log. */
  decide: (command: DecideScalingCommand) => Promise<ScalingResult>
  /** Returns the current demand. */
  observeDemand: () => ObservedDemand[]
  /** Receives the orders. If undefined, demand is not evaluated. */
  sink: ScalingSink | undefined
  holder: string
  /** Limit of the external system for the calls of all tasks together. */
  callsPerSecond: number
  logger: Pick<Logger, 'info' | 'warn'>
  now?: () => number
}

/** Interval between two evaluations of the demand, in ms. */
const EVALUATION_INTERVAL_MS = 500

interface ScaledService extends ObservedDemand {
  key: string
  policy: ScalingPolicy
}

interface OrdererMetrics {
  decisions: Counter<'direction'>
  calls: Counter<'outcome'>
  desired: Gauge<'service' | 'data_centre'>
}

export class ScalingController {
  private readonly scaledServices = new Map<string, ScaledService>()
  private readonly calls = new OrderCallTracker()
  private readonly rateLimiter: CallRateLimiter
  private readonly now: () => number
  private metrics: OrdererMetrics | undefined
  private timer: NodeJS.Timeout | undefined
  private isBusy = false

  constructor (private readonly options: ScalingControllerOptions) {
    this.now = options.now ?? (() => performance.now())
    this.rateLimiter = new CallRateLimiter(options.callsPerSecond)
  }

  start (): void {
    if (this.options.sink !== undefined) this.timer = setInterval(() => { void this.runOnce() }, EVALUATION_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  addMetrics (registry: Registry): void {
    this.metrics = {
      decisions: counter(registry, 'gullwall_scaling_decisions_total', 'Orders of endpoints that were decided here', ['direction']),
      calls: counter(registry, 'gullwall_scaling_calls_total', 'Calls that ordered endpoints, by what became of them', ['outcome']),
      desired: gauge(registry, 'gullwall_scaling_desired_endpoints', 'Endpoints that were last ordered', ['service', 'data_centre'])
    }
  }

  /** Records the demand, so that every process knows its history. Decides and sends orders if this process leads. */
  async runOnce (): Promise<void> {
    const term = this.options.lease.observeTerm()
    this.recordDemand()
    if (term === undefined || this.isBusy) return
    this.isBusy = true
    try {
      await this.processOrders()
    } catch (error) {
      // A failed evaluation must not end the process, because other tasks and all gateways depend on it.
      this.options.logger.warn({ channel: 'process', event: 'failed', why: `endpoints are not ordered: ${messageOf(error)}` })
    } finally {
      this.isBusy = false
    }
  }

  private recordDemand (): void {
    const now = this.now()
    const observedKeys = new Set<string>()
    for (const part of this.options.observeDemand()) {
      const key = JSON.stringify([part.service, part.dataCentre])
      const policy = this.scaledServices.get(key)?.policy ?? new ScalingPolicy()
      policy.observe(part.demand, part.scaling, now)
      this.scaledServices.set(key, { ...part, key, policy })
      observedKeys.add(key)
    }
    for (const key of this.scaledServices.keys()) if (!observedKeys.has(key)) this.removeService(key)
  }

  private removeService (key: string): void {
    this.scaledServices.delete(key)
    this.calls.forget(key)
  }

  private async processOrders (): Promise<void> {
    for (const scaled of [...this.scaledServices.values()]) {
      if (!this.isDue(scaled)) continue
      const acquiredLease = await this.options.lease.acquire()
      if (acquiredLease === undefined) return
      try {
        await this.decide(scaled)
      } catch (error) {
        this.log('postponed', scaled, acquiredLease.token, `not decided: ${messageOf(error)}`)
        this.rateLimiter.backOff(this.now())
        return
      }
      const order = this.findOrder(scaled)
      if (order === undefined || !this.calls.isCallDue(scaled.key, order, acquiredLease.token, this.now())) continue
      if (!this.rateLimiter.canCall(this.now())) return
      await this.send(scaled, order, acquiredLease)
    }
  }

  /** Whether there is an order to decide or to send. The lease is acquired from the quorum only in this case. */
  private isDue (scaled: ScaledService): boolean {
    const token = this.options.lease.observeTerm()
    const order = this.findOrder(scaled)
    if (token === undefined || !this.rateLimiter.isBackoffOver(this.now())) return false
    return this.decideNext(scaled) !== undefined || (order !== undefined && this.calls.isCallDue(scaled.key, order, token, this.now()))
  }

  private decideNext ({ policy, scaling, ...scaled }: ScaledService) {
    return policy.decide(this.findOrder(scaled)?.desired, scaling, this.now())
  }

  private findOrder ({ service, dataCentre }: Pick<ScaledService, 'service' | 'dataCentre'>): ScalingOrder | undefined {
    return this.options.orders.of(service, dataCentre)
  }

  private async decide (scaled: ScaledService): Promise<void> {
    const next = this.decideNext(scaled)
    if (next === undefined) return
    const { service, dataCentre, demand } = scaled
    const current = this.findOrder(scaled)
    const { isTaken } = await this.options.decide({
      type: 'decide-scaling', service, dataCentre, desired: next.desired, seen: current?.number ?? 0
    })
    if (!isTaken) return
    this.metrics?.decisions.inc({ direction: next.desired > (current?.desired ?? demand.readyEndpoints) ? 'up' : 'down' })
    this.log('decided', scaled, this.options.lease.observeTerm() ?? 0, next.reason)
  }

  private async send (scaled: ScaledService, order: ScalingOrder, acquiredLease: AcquiredLease): Promise<void> {
    const { lease, sink, holder } = this.options
    if (sink === undefined || !lease.isValid(acquiredLease)) return
    const { service, dataCentre, desired } = order
    this.rateLimiter.recordCall(this.now())
    const outcome = await sink.order({ service, dataCentre, desired, holder, ...acquiredLease })
    this.metrics?.calls.inc({ outcome: outcome.type })
    this.metrics?.desired.set({ service, data_centre: dataCentre }, desired)
    this.recordOutcome(scaled, order, acquiredLease.token, outcome)
  }

  private recordOutcome (scaled: ScaledService, order: ScalingOrder, token: number, outcome: DeliveryOutcome): void {
    switch (outcome.type) {
      case 'delivered':
        this.rateLimiter.recordSuccess()
        this.calls.recordDelivered(scaled.key, order, token, this.now())
        this.log('ordered', scaled, token, 'accepted')
        break
      case 'fenced':
        this.options.lease.recordRefusedToken(token)
        this.log('fenced', scaled, token, 'a higher fencing token was received; this process orders nothing more in this term')
        break
      case 'expired':
        this.log('postponed', scaled, token, 'the lease expired before the order was sent')
        break
      case 'failed':
        this.calls.recordFailed(scaled.key, order, this.now())
        this.log('postponed', scaled, token, outcome.reason)
        this.rateLimiter.backOff(this.now(), outcome.backoffMs)
        break
    }
  }

  private log (event: 'decided' | 'ordered' | 'postponed' | 'fenced', scaled: ScaledService, token: number, why: string): void {
    const { service, dataCentre } = scaled
    const order = this.findOrder(scaled)
    const record = { channel: 'scaling', event, service, dataCentre, desired: order?.desired ?? 0, order: order?.number ?? 0, token, why } as const
    if (event === 'postponed' || event === 'fenced') this.options.logger.warn(record)
    else this.options.logger.info(record)
  }
}
