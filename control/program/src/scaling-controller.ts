/**
 * Orders endpoints by demand, from whichever control process holds the duty lease. An order is decided in the replicated log
 * before it is sent, so that whoever takes over goes on from it, and sends it again under its own token until it is answered.
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
  /** Has an order decided in the replicated log. */
  decide: (command: DecideScalingCommand) => Promise<ScalingResult>
  /** Looks at the demand now. */
  observeDemand: () => ObservedDemand[]
  /** None where nobody takes orders; then nothing is looked at. */
  sink: ScalingSink | undefined
  holder: string
  /** Calls that the outside takes in a second, those of all duties together. */
  callsPerSecond: number
  logger: Pick<Logger, 'info' | 'warn'>
  now?: () => number
}

/** How often demand is looked at, in ms: twice within the time that is taken for the present. */
const LOOK_MS = 500

interface Subject extends ObservedDemand {
  key: string
  policy: ScalingPolicy
}

interface OrdererMetrics {
  decisions: Counter<'direction'>
  calls: Counter<'outcome'>
  desired: Gauge<'service' | 'data_centre'>
}

export class ScalingController {
  private readonly subjects = new Map<string, Subject>()
  private readonly calls = new OrderCallTracker()
  private readonly budget: CallRateLimiter
  private readonly now: () => number
  private metrics: OrdererMetrics | undefined
  private timer: NodeJS.Timeout | undefined
  private isBusy = false

  constructor (private readonly options: ScalingControllerOptions) {
    this.now = options.now ?? (() => performance.now())
    this.budget = new CallRateLimiter(options.callsPerSecond)
  }

  start (): void {
    if (this.options.sink !== undefined) this.timer = setInterval(() => { void this.runOnce() }, LOOK_MS)
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

  /** Looks at the demand, in every process, so that one that takes over knows its past; then acts if this one may. */
  async runOnce (): Promise<void> {
    const term = this.options.lease.observeTerm()
    this.observe()
    if (term === undefined || this.isBusy) return
    this.isBusy = true
    try {
      await this.act()
    } catch (error) {
      // One look that fails must not end the process, which other duties and all gateways depend on.
      this.options.logger.warn({ channel: 'process', event: 'failed', why: `endpoints are not ordered: ${messageOf(error)}` })
    } finally {
      this.isBusy = false
    }
  }

  private observe (): void {
    const now = this.now()
    const seen = new Set<string>()
    for (const part of this.options.observeDemand()) {
      const key = JSON.stringify([part.service, part.dataCentre])
      const policy = this.subjects.get(key)?.policy ?? new ScalingPolicy()
      policy.observe(part.demand, part.scaling, now)
      this.subjects.set(key, { ...part, key, policy })
      seen.add(key)
    }
    for (const key of this.subjects.keys()) if (!seen.has(key)) this.forget(key)
  }

  private forget (key: string): void {
    this.subjects.delete(key)
    this.calls.forget(key)
  }

  private async act (): Promise<void> {
    for (const subject of [...this.subjects.values()]) {
      if (!this.isDue(subject)) continue
      const fence = await this.options.lease.acquire()
      if (fence === undefined) return
      try {
        await this.decide(subject)
      } catch (error) {
        this.log('postponed', subject, fence.token, `not decided: ${messageOf(error)}`)
        this.budget.backOff(this.now())
        return
      }
      const order = this.orderOf(subject)
      if (order === undefined || !this.calls.isCallDue(subject.key, order, fence.token, this.now())) continue
      if (!this.budget.canCall(this.now())) return
      await this.send(subject, order, fence)
    }
  }

  /** Whether there is something to decide or to send; the quorum is asked for the fence only then. */
  private isDue (subject: Subject): boolean {
    const token = this.options.lease.observeTerm()
    const order = this.orderOf(subject)
    if (token === undefined || !this.budget.isBackoffOver(this.now())) return false
    return this.next(subject) !== undefined || (order !== undefined && this.calls.isCallDue(subject.key, order, token, this.now()))
  }

  private next ({ policy, scaling, ...subject }: Subject) {
    return policy.decide(this.orderOf(subject)?.desired, scaling, this.now())
  }

  private orderOf ({ service, dataCentre }: Pick<Subject, 'service' | 'dataCentre'>): ScalingOrder | undefined {
    return this.options.orders.of(service, dataCentre)
  }

  private async decide (subject: Subject): Promise<void> {
    const next = this.next(subject)
    if (next === undefined) return
    const { service, dataCentre, demand } = subject
    const held = this.orderOf(subject)
    const { isTaken } = await this.options.decide({
      type: 'decide-scaling', service, dataCentre, desired: next.desired, seen: held?.number ?? 0
    })
    if (!isTaken) return
    this.metrics?.decisions.inc({ direction: next.desired > (held?.desired ?? demand.ready) ? 'up' : 'down' })
    this.log('decided', subject, this.options.lease.observeTerm() ?? 0, next.why)
  }

  private async send (subject: Subject, order: ScalingOrder, fence: AcquiredLease): Promise<void> {
    const { lease, sink, holder } = this.options
    if (sink === undefined || !lease.isValid(fence)) return
    const { service, dataCentre, desired } = order
    this.budget.recordCall(this.now())
    const outcome = await sink.order({ service, dataCentre, desired, holder, ...fence })
    this.metrics?.calls.inc({ outcome: outcome.type })
    this.metrics?.desired.set({ service, data_centre: dataCentre }, desired)
    this.note(subject, order, fence.token, outcome)
  }

  private note (subject: Subject, order: ScalingOrder, token: number, outcome: DeliveryOutcome): void {
    switch (outcome.type) {
      case 'delivered':
        this.budget.recordSuccess()
        this.calls.recordDelivered(subject.key, order, token, this.now())
        this.log('ordered', subject, token, 'taken')
        break
      case 'fenced':
        this.options.lease.recordRefusedToken(token)
        this.log('fenced', subject, token, 'a higher fencing token was seen; this term orders no more')
        break
      case 'expired':
        this.log('postponed', subject, token, 'the time of the fence was over before it was sent')
        break
      case 'failed':
        this.calls.recordFailed(subject.key, order, this.now())
        this.log('postponed', subject, token, outcome.reason)
        this.budget.backOff(this.now(), outcome.backoffMs)
        break
    }
  }

  private log (event: 'decided' | 'ordered' | 'postponed' | 'fenced', subject: Subject, token: number, why: string): void {
    const { service, dataCentre } = subject
    const order = this.orderOf(subject)
    const record = { channel: 'scaling', event, service, dataCentre, desired: order?.desired ?? 0, order: order?.number ?? 0, token, why } as const
    if (event === 'postponed' || event === 'fenced') this.options.logger.warn(record)
    else this.options.logger.info(record)
  }
}
