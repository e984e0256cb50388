/** A simulation of two processes with one log that order endpoints from an external system. Time is simulated. */
import { ControlState, type DecideScalingCommand, type ScalingResult } from '@gullwall/control.state'
import { type DeliveryOutcome, type FencedOrder, type ScalingSink } from '@gullwall/control.program'
import { createLogger } from '@gullwall/core.logger'
import { LeaderLease } from '../src/leader-lease.ts'
import { ScalingController } from '../src/scaling-controller.ts'

const EVALUATION_INTERVAL_MS = 500
export const LEASE_MS = 1000
const SCALING = { min: 1, max: 12, bootMs: 10_000 }

/** A fake external system. It refuses lower tokens, and may execute a call late or not respond. */
export class FakeSink implements ScalingSink {
  readonly sent: Array<FencedOrder & { at: number }> = []
  /** The numbers of endpoints that the executed orders set, by service and data centre. */
  readonly desiredCounts = new Map<string, number>()
  answer: (order: FencedOrder) => DeliveryOutcome | 'carried out late' = () => ({ type: 'delivered' })
  readonly lateCalls: Array<FencedOrder & { at: number }> = []
  private highest = 0

  constructor (private readonly now: () => number) {}

  async order (order: FencedOrder): Promise<DeliveryOutcome> {
    this.sent.push({ ...order, at: this.now() })
    const outcome = this.answer(order)
    if (outcome === 'carried out late') {
      this.lateCalls.push({ ...order, at: this.now() })
      return { type: 'failed', reason: 'no answer' }
    }
    return outcome.type === 'delivered' ? this.carryOut(order) : outcome
  }

  carryOut ({ service, dataCentre, desired, token }: FencedOrder): DeliveryOutcome {
    if (token < this.highest) return { type: 'fenced' }
    this.highest = token
    this.desiredCounts.set(`${service} ${dataCentre}`, desired)
    return { type: 'delivered' }
  }

  get bodies (): Array<[number, number]> {
    return this.sent.map(({ token, desired }) => [token, desired])
  }
}

export class ScalingSimulation {
  now = 0
  running = 12
  leader: { name: string, term: number } | undefined = { name: 'a', term: 1 }
  readonly sink = new FakeSink(() => this.now)
  readonly lines: string[] = []
  readonly state = new ControlState()
  private readonly controllers = new Map<string, ScalingController>()

  constructor (private readonly dataCentres: string[] = ['dc1'], private readonly callsPerSecond = 4) {
    for (const name of ['a', 'b']) this.controllers.set(name, this.createController(name))
  }

  /** Restarts a process. */
  restart (name: string): void {
    this.controllers.set(name, this.createController(name))
  }

  async run (forMs: number): Promise<void> {
    for (const end = this.now + forMs; this.now < end; this.now += EVALUATION_INTERVAL_MS) {
      for (const controller of this.controllers.values()) await controller.runOnce()
    }
  }

  private createController (name: string): ScalingController {
    const now = () => this.now
    return new ScalingController({
      lease: new LeaderLease({
        leaseMs: LEASE_MS,
        leadingTerm: () => this.leader?.name === name ? this.leader.term : undefined,
        confirmLeadership: async () => {},
        now
      }),
      orders: this.state.scalingOrders,
      decide: async (command: DecideScalingCommand) => JSON.parse(this.state.apply(0, JSON.stringify(command))) as ScalingResult,
      observeDemand: () => this.dataCentres.map((dataCentre) => ({
        service: 'lm',
        dataCentre,
        scaling: SCALING,
        demand: {
          readyEndpoints: this.state.scalingOrders.of('lm', dataCentre)?.desired ?? 2,
          slots: 10 * (this.state.scalingOrders.of('lm', dataCentre)?.desired ?? 2),
          running: this.running,
          unreadTokens: 0,
          tokensPerMs: 30,
          targetWaitMs: 250,
          isComplete: true
        }
      })),
      sink: this.sink,
      holder: name,
      callsPerSecond: this.callsPerSecond,
      logger: createLogger({ program: 'test', box: name, level: 'info', write: (line) => { this.lines.push(line) } }),
      now
    })
  }
}
