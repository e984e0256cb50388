/**
 * A model of everything that is asked, granted and sent for one cold endpoint: control processes of which one leads, boxes that
 * ask them, messages that take any time or are lost, clocks that run unevenly, and processes that start again.
 */
import { GrantPool } from '../../../entry/gateway/src/grant-pool.ts'
import { LeasedGrantLedger } from '../src/leased-grant-ledger.ts'
import { type GrantBound, type GrantLedger } from '../src/grant-ledger.ts'

const ENDPOINT = 'i-cold'

/** When a box uses a grant, as shares of the time that it has for it: to dispatch the requests, and then to connect. */
export interface GrantUse {
  dispatchShare: number
  connectShare: number
}

/** What happens, each `afterMs` after the step before it, by a clock that none of the processes has. */
export type Step = { afterMs: number } & (
  | { type: 'ask', box: number, control: number, requests: number, thereMs: number, backMs: number, isLost: boolean, use: GrantUse }
  | { type: 'elect', control: number, tellsOld: boolean }
  | { type: 'restartBox', box: number }
  | { type: 'restartControl', control: number }
  | { type: 'observe', control: number }
)

export interface SimulationOptions {
  bound: GrantBound
  /** How fast the clocks run, in the order of the control processes and then of the boxes. */
  rates: readonly number[]
  /** Ways in which the code could be wrong; none where the model is of the code as it is. */
  newLedger?: (now: number) => GrantLedger
  leaseMs?: number
  /** A leader takes its own word for it that it leads. */
  neverConfirms?: boolean
  /** A box counts the time of a grant from when it got it. */
  countsFromAnswer?: boolean
}

interface Event {
  at: number
  run: () => void | Promise<void>
}

const CONTROLS = 3
export const BOXES = 4

export class GrantSimulation {
  /** When requests were sent to the endpoint. */
  readonly sentAt: number[] = []
  granted = 0
  private time = 0
  private term = 0
  private leader: number | undefined
  private readonly believed: Array<number | undefined> = Array.from({ length: CONTROLS }, () => undefined)
  private readonly duties: LeasedGrantLedger[]
  private readonly purses: GrantPool[]
  private readonly starts = Array.from({ length: BOXES }, () => 0)
  private events: Event[] = []

  constructor (private readonly options: SimulationOptions) {
    this.duties = this.believed.map((_unused, control) => this.newDuty(control))
    this.purses = this.starts.map(() => new GrantPool())
  }

  async run (steps: readonly Step[]): Promise<void> {
    let at = 0
    for (const step of steps) {
      at += step.afterMs
      this.events.push({ at, run: () => this.take(step) })
    }
    while (this.events.length > 0) {
      this.events.sort((left, right) => left.at - right.at)
      const event = this.events.shift() as Event
      this.time = event.at
      await event.run()
    }
  }

  /** The most requests that were sent within any window. */
  get maxSentInWindow (): number {
    const sorted = this.sentAt.toSorted((left, right) => left - right)
    let most = 0
    let first = 0
    for (const [index, at] of sorted.entries()) {
      while (at - (sorted[first] as number) > this.options.bound.windowMs) first += 1
      most = Math.max(most, index - first + 1)
    }
    return most
  }

  private take (step: Step): void {
    switch (step.type) {
      case 'ask': this.ask(step); break
      case 'elect': this.elect(step); break
      case 'observe': this.duties[step.control]?.observeTerm(); break
      case 'restartBox':
        this.purses[step.box] = new GrantPool()
        this.starts[step.box] = (this.starts[step.box] as number) + 1
        break
      case 'restartControl':
        if (this.leader === step.control) this.leader = undefined
        this.believed[step.control] = undefined
        this.duties[step.control] = this.newDuty(step.control)
        break
    }
  }

  private ask ({ box, control, requests, thereMs, backMs, isLost, use }: Extract<Step, { type: 'ask' }>): void {
    const askedAt = this.boxTime(box)
    const start = this.starts[box]
    this.after(thereMs, async () => {
      const ledger = await this.duties[control]?.acquire()
      const wish = { incarnation: ENDPOINT, box: String(box), requests, bounds: [this.options.bound] }
      const grant = ledger?.grant(wish, this.controlTime(control))
      if (grant === undefined || grant.requests === 0) return
      this.granted += grant.requests
      if (isLost) return
      this.after(backMs, () => {
        if (this.starts[box] !== start) return
        const now = this.boxTime(box)
        const from = this.options.countsFromAnswer === true ? now : askedAt
        const until = from + grant.withinMs
        this.purses[box]?.add(ENDPOINT, { requests: grant.requests, until }, now)
        // As late as possible is just before the end.
        const waitMs = use.dispatchShare * Math.max(0, until - now - 1) / this.boxRate(box)
        this.after(waitMs, () => this.send(box, grant.requests, use))
      })
    })
  }

  private send (box: number, requests: number, { connectShare }: GrantUse): void {
    for (let count = 0; count < requests && this.purses[box]?.tryTake(ENDPOINT, this.boxTime(box)) === true; count += 1) {
      this.after(connectShare * this.options.bound.maxSendDelayMs / this.boxRate(box), () => { this.sentAt.push(this.time) })
    }
  }

  /** A majority votes for another leader; the one before may not hear of it. */
  private elect ({ control, tellsOld }: Extract<Step, { type: 'elect' }>): void {
    if (tellsOld && this.leader !== undefined && this.leader !== control) this.believed[this.leader] = undefined
    this.term += 1
    this.leader = control
    this.believed[control] = this.term
  }

  private newDuty (control: number): LeasedGrantLedger {
    const { newLedger, leaseMs, neverConfirms } = this.options
    return new LeasedGrantLedger({
      createLedger: newLedger,
      leaseMs,
      leadingTerm: () => this.believed[control],
      confirmLeadership: async () => { if (this.leader !== control && neverConfirms !== true) throw new Error('another one leads') },
      now: () => this.controlTime(control)
    })
  }

  private after (ms: number, run: Event['run']): void {
    this.events.push({ at: this.time + ms, run })
  }

  private controlTime (control: number): number {
    return this.time * (this.options.rates[control] as number)
  }

  private boxTime (box: number): number {
    return this.time * this.boxRate(box)
  }

  private boxRate (box: number): number {
    return this.options.rates[CONTROLS + box] as number
  }
}
