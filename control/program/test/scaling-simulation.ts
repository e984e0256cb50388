/** Two processes that order endpoints, over one log, and an outside that they order them from; the time is played. */
import { ControlState, type DecideScalingCommand, type ScalingResult } from '@gullwall/control.state'
import { type DeliveryOutcome, type FencedOrder, type ScalingSink } from '@gullwall/control.program'
import { createLogger } from '@gullwall/core.logger'
import { LeaderLease } from '../src/leader-lease.ts'
import { ScalingController } from '../src/scaling-controller.ts'

const LOOK_MS = 500
export const LEASE_MS = 1000
const SCALING = { min: 1, max: 12, bootMs: 10_000 }

/** The outside: refuses lower tokens, and may carry a call out late or not answer. */
export class FakeSink implements ScalingSink {
  readonly sent: Array<FencedOrder & { at: number }> = []
  /** What the outside has set, by service and data centre. */
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
  private readonly orderers = new Map<string, ScalingController>()

  constructor (private readonly dataCentres: string[] = ['dc1'], private readonly callsPerSecond = 4) {
    for (const name of ['a', 'b']) this.orderers.set(name, this.newOrderer(name))
  }

  /** A process that has just started. */
  restart (name: string): void {
    this.orderers.set(name, this.newOrderer(name))
  }

  async run (forMs: number): Promise<void> {
    for (const end = this.now + forMs; this.now < end; this.now += LOOK_MS) {
      for (const orderer of this.orderers.values()) await orderer.runOnce()
    }
  }

  private newOrderer (name: string): ScalingController {
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
          ready: this.state.scalingOrders.of('lm', dataCentre)?.desired ?? 2,
          slots: 10 * (this.state.scalingOrders.of('lm', dataCentre)?.desired ?? 2),
          running: this.running,
          unreadTokens: 0,
          tokensPerMs: 30,
          aimedWaitMs: 250,
          isWhole: true
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
