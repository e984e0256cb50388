/**
 * A simulation of the grants for one bounded endpoint. It has control processes with elected leaders, boxes that request grants and
 * send requests, messages with any delay or loss, clocks with different rates, and restarts of processes.
 */
import { GrantPool } from '../../../entry/gateway/src/grant-pool.ts'
import { LeasedGrantLedger } from '../src/leased-grant-ledger.ts'
import { type GrantBound, type GrantLedger } from '../src/grant-ledger.ts'

const ENDPOINT = 'i-cold'

/** When a box uses a grant: the used shares of the time to dispatch the requests and of the time to connect. */
export interface GrantUse {
  dispatchDelayShare: number
  connectDelayShare: number
}

/** A step of a scenario. It runs `afterMs` after the previous step, by the clock of the simulation. */
export type Step = { afterMs: number } & (
  | { type: 'request', box: number, control: number, requests: number, requestDelayMs: number, responseDelayMs: number, isLost: boolean, use: GrantUse }
  | { type: 'elect', control: number, notifiesOldLeader: boolean }
  | { type: 'restartBox', box: number }
  | { type: 'restartControl', control: number }
  | { type: 'observe', control: number }
)

export interface SimulationOptions {
  bound: GrantBound
  /** Rates of the clocks, first of the control processes and then of the boxes. */
  clockRates: readonly number[]
  /** Replaces the creation of ledgers. This option and those below inject faults; without them the simulation runs the real code. */
  createLedger?: (now: number) => GrantLedger
  leaseMs?: number
  /** Makes leaders skip the confirmation by a majority. */
  skipsConfirmation?: boolean
  /** Makes boxes count the validity of a grant from the arrival of the response. */
  countsValidityFromResponse?: boolean
}

interface Event {
  at: number
  run: () => void | Promise<void>
}

const CONTROLS = 3
export const BOXES = 4

export class GrantSimulation {
  /** Times at which requests were sent to the endpoint. */
  readonly sentAt: number[] = []
  granted = 0
  private time = 0
  private term = 0
  private leader: number | undefined
  private readonly believedTerms: Array<number | undefined> = Array.from({ length: CONTROLS }, () => undefined)
  private readonly leasedLedgers: LeasedGrantLedger[]
  private readonly grantPools: GrantPool[]
  private readonly restartCounts = Array.from({ length: BOXES }, () => 0)
  private events: Event[] = []

  constructor (private readonly options: SimulationOptions) {
    this.leasedLedgers = this.believedTerms.map((_unused, control) => this.createLeasedLedger(control))
    this.grantPools = this.restartCounts.map(() => new GrantPool())
  }

  async run (steps: readonly Step[]): Promise<void> {
    let at = 0
    for (const step of steps) {
      at += step.afterMs
      this.events.push({ at, run: () => this.execute(step) })
    }
    while (this.events.length > 0) {
      this.events.sort((left, right) => left.at - right.at)
      const event = this.events.shift() as Event
      this.time = event.at
      await event.run()
    }
  }

  /** Returns the largest number of requests that were sent within one window. */
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

  private execute (step: Step): void {
    switch (step.type) {
      case 'request': this.requestGrant(step); break
      case 'elect': this.elect(step); break
      case 'observe': this.leasedLedgers[step.control]?.observeTerm(); break
      case 'restartBox':
        this.grantPools[step.box] = new GrantPool()
        this.restartCounts[step.box] = (this.restartCounts[step.box] as number) + 1
        break
      case 'restartControl':
        if (this.leader === step.control) this.leader = undefined
        this.believedTerms[step.control] = undefined
        this.leasedLedgers[step.control] = this.createLeasedLedger(step.control)
        break
    }
  }

  private requestGrant ({ box, control, requests, requestDelayMs, responseDelayMs, isLost, use }: Extract<Step, { type: 'request' }>): void {
    const requestedAt = this.boxTime(box)
    const start = this.restartCounts[box]
    this.schedule(requestDelayMs, async () => {
      const ledger = await this.leasedLedgers[control]?.acquire()
      const request = { incarnation: ENDPOINT, box: String(box), requests, bounds: [this.options.bound] }
      const grant = ledger?.grant(request, this.controlTime(control))
      if (grant === undefined || grant.requests === 0) return
      this.granted += grant.requests
      if (isLost) return
      this.schedule(responseDelayMs, () => {
        if (this.restartCounts[box] !== start) return
        const now = this.boxTime(box)
        const from = this.options.countsValidityFromResponse === true ? now : requestedAt
        const until = from + grant.withinMs
        this.grantPools[box]?.add(ENDPOINT, { requests: grant.requests, until }, now)
        // The latest possible dispatch is just before the grant expires.
        const waitMs = use.dispatchDelayShare * Math.max(0, until - now - 1) / this.boxRate(box)
        this.schedule(waitMs, () => this.send(box, grant.requests, use))
      })
    })
  }

  private send (box: number, requests: number, { connectDelayShare }: GrantUse): void {
    for (let count = 0; count < requests && this.grantPools[box]?.tryTake(ENDPOINT, this.boxTime(box)) === true; count += 1) {
      this.schedule(connectDelayShare * this.options.bound.maxSendDelayMs / this.boxRate(box), () => { this.sentAt.push(this.time) })
    }
  }

  /** Elects another leader. The previous leader may not learn of the election. */
  private elect ({ control, notifiesOldLeader }: Extract<Step, { type: 'elect' }>): void {
    if (notifiesOldLeader && this.leader !== undefined && this.leader !== control) this.believedTerms[this.leader] = undefined
    this.term += 1
    this.leader = control
    this.believedTerms[control] = this.term
  }

  private createLeasedLedger (control: number): LeasedGrantLedger {
    const { createLedger, leaseMs, skipsConfirmation } = this.options
    return new LeasedGrantLedger({
      createLedger,
      leaseMs,
      leadingTerm: () => this.believedTerms[control],
      confirmLeadership: async () => { if (this.leader !== control && skipsConfirmation !== true) throw new Error('another process leads') },
      now: () => this.controlTime(control)
    })
  }

  private schedule (ms: number, run: Event['run']): void {
    this.events.push({ at: this.time + ms, run })
  }

  private controlTime (control: number): number {
    return this.time * (this.options.clockRates[control] as number)
  }

  private boxTime (box: number): number {
    return this.time * this.boxRate(box)
  }

  private boxRate (box: number): number {
    return this.options.clockRates[CONTROLS + box] as number
  }
}
