/** Simulates entries and sidecars in one process: with the real decision code, and messages delayed in virtual time. */
import { vi } from 'vitest'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { IdSequence } from '@gullwall/core.ids'
import { silentLogger } from '@gullwall/core.logger'
import { RecordMap } from '@gullwall/config.records'
import { BackoffTable } from '@gullwall/routing.backoff'
import { Dispatcher, type Grant, type RoutedRequest, type SidecarPort } from '@gullwall/routing.dispatcher'
import { RateMeter } from '@gullwall/routing.rates'
import { ReservationBook } from '@gullwall/routing.reservations'
import { EndpointSlots } from '@gullwall/sidecar.slots'

export interface SimulatedClass {
  name: string
  tier: number
  floor: number
}

/** The progress of one request. */
export interface TrackedRequest {
  request: RoutedRequest
  state: 'waiting' | 'running' | 'done' | 'refused'
  runs: number
  preemptedBy: number[]
  startedAt: number
}

interface Entry {
  name: string
  dispatcher: Dispatcher
  ports: Map<string, SidecarPort>
}

interface Sidecar {
  name: string
  book: ReservationBook
  slots: EndpointSlots
  running: Map<string, { tracked: TrackedRequest, end: (preempted: boolean) => void }>
}

export interface SimulationOptions {
  seed: number
  entries: number
  endpoints: number
  limit: number
  maxQueued: number
  classes: SimulatedClass[]
}

const MODEL = 'parts'
const MAX_DELAY_MS = 4
const REPORT_MS = 50

export class Simulation {
  readonly requests: TrackedRequest[] = []
  readonly violations: string[] = []
  /** The requests that started on a slot, in order. */
  readonly started: TrackedRequest[] = []
  readonly sidecars: Sidecar[] = []
  private readonly entries: Entry[] = []
  private readonly random: () => number
  private attempts = 0

  constructor (private readonly options: SimulationOptions) {
    const generator = xoroshiro128plus(options.seed)
    this.random = () => uniformFloat64(generator)
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] })
    vi.spyOn(Math, 'random').mockImplementation(this.random)
    for (let index = 0; index < options.endpoints; index++) this.sidecars.push(this.createSidecar(`s${index}`))
    for (let index = 0; index < options.entries; index++) this.entries.push(this.createEntry(`e${index}`))
  }

  stop (): void {
    for (const { dispatcher } of this.entries) dispatcher.stop()
    for (const { slots } of this.sidecars) slots.stop()
    vi.restoreAllMocks()
    vi.useRealTimers()
  }

  async advance (ms: number): Promise<void> {
    await vi.advanceTimersByTimeAsync(ms)
  }

  /** Submits a request to an entry. The request runs for `runMs` once it has a slot. */
  send (entryIndex: number, className: string, organisation: string, runMs: number): TrackedRequest {
    const entry = this.entries[entryIndex % this.entries.length] as Entry
    const requestClass = this.options.classes.find(({ name }) => name === className) as SimulatedClass
    const request: RoutedRequest = {
      id: `r${this.requests.length}`,
      group: className,
      class: className,
      tier: requestClass.tier,
      floor: requestClass.floor,
      organisation,
      weight: 1,
      arrivedAt: performance.now(),
      kind: 'engine',
      serves: MODEL,
      firstTokenMs: 400,
      maxWaitMs: 1e9,
      late: 'serve',
      selectors: [],
      avoidedEndpoints: new Set()
    }
    const tracked: TrackedRequest = { request, state: 'waiting', runs: 0, preemptedBy: [], startedAt: 0 }
    this.requests.push(tracked)
    void this.serve(entry, tracked, runMs, false)
    return tracked
  }

  /** Closes an entry's link to a sidecar and opens it again. */
  reconnect (entryIndex: number, sidecarIndex: number): void {
    const entry = this.entries[entryIndex % this.entries.length] as Entry
    const sidecar = this.sidecars[sidecarIndex % this.sidecars.length] as Sidecar
    const port = entry.ports.get(sidecar.name)
    if (port !== undefined) entry.dispatcher.removeSidecar(port)
    sidecar.book.removeEntry(entry.name)
    this.link(entry, sidecar)
  }

  private async serve (entry: Entry, tracked: TrackedRequest, runMs: number, atFront: boolean): Promise<void> {
    const submitted = entry.dispatcher.submit(tracked.request, { atFront })
    const result = await submitted
    result.caseOf({
      Left: (refusal) => {
        tracked.state = 'refused'
        if (refusal.reason === 'queue-full') this.checkShedding(entry, tracked)
      },
      Right: (grant) => this.attempt(entry, tracked, grant, runMs)
    })
  }

  /** Records a violation if a request was shed while one of a lower tier waited at the same entry. */
  private checkShedding (entry: Entry, tracked: TrackedRequest): void {
    const lower = [...entry.dispatcher.countQueuedByClass().keys()].filter((name) => {
      return (this.options.classes.find((requestClass) => requestClass.name === name)?.tier ?? 0) > tracked.request.tier
    })
    if (lower.length > 0) this.violations.push(`${tracked.request.class} was shed while ${lower.join()} was waiting`)
  }

  private attempt (entry: Entry, tracked: TrackedRequest, grant: Grant, runMs: number): void {
    const sidecar = this.sidecars.find(({ name }) => name === grant.sidecar.name) as Sidecar
    this.attempts += 1
    const attemptId = `a${this.attempts}`
    this.delay(() => {
      const { tier } = tracked.request
      const waiting = sidecar.book.findHighestTier(sidecar.name)
      const admitted = sidecar.slots.admit({ attemptId, entry: entry.name, offerId: grant.offerId, tier, preemptible: true }, () => {
        sidecar.running.get(attemptId)?.end(true)
      })
      if (!admitted) {
        this.delay(() => {
          entry.dispatcher.completeGrant(grant, true)
          entry.dispatcher.recordBusy(grant.endpoint)
          void this.serve(entry, tracked, runMs, true)
        })
        return
      }
      if (grant.offerId === undefined && waiting !== undefined && waiting <= tier) this.violations.push('a request took a slot ahead of a waiting request of its tier or higher')
      this.run(entry, sidecar, tracked, grant, attemptId, runMs)
    })
  }

  private run (entry: Entry, sidecar: Sidecar, tracked: TrackedRequest, grant: Grant, attemptId: string, runMs: number): void {
    tracked.state = 'running'
    tracked.runs += 1
    tracked.startedAt = performance.now()
    this.started.push(tracked)
    if (sidecar.slots.inFlight > this.options.limit) this.violations.push('more requests were in flight than the limit allows')
    const timer = setTimeout(() => end(false), runMs)
    const end = (preempted: boolean) => {
      clearTimeout(timer)
      sidecar.running.delete(attemptId)
      const remainingMs = runMs - (performance.now() - tracked.startedAt)
      tracked.state = preempted ? 'waiting' : 'done'
      queueMicrotask(() => sidecar.slots.release(attemptId))
      this.delay(() => {
        entry.dispatcher.completeGrant(grant, true)
        if (preempted) void this.serve(entry, tracked, remainingMs, true)
      })
    }
    sidecar.running.set(attemptId, { tracked, end })
  }

  private createEntry (name: string): Entry {
    const dispatcher = new Dispatcher({
      dataCentre: 'east', records: new RecordMap(), logger: silentLogger(), maxQueued: this.options.maxQueued
    })
    const entry: Entry = { name, dispatcher, ports: new Map() }
    for (const sidecar of this.sidecars) this.link(entry, sidecar)
    dispatcher.start()
    return entry
  }

  private createSidecar (name: string): Sidecar {
    const book = new ReservationBook()
    const slots = new EndpointSlots({
      name,
      startLimit: this.options.limit,
      maxLimit: this.options.limit,
      book,
      offerIds: new IdSequence(name, 'o'),
      meter: new RateMeter(),
      onSend: () => {},
      backoffs: new BackoffTable({ onPermitsAvailable: () => {} }),
      admitWithoutSlot: false,
      onChange: () => {},
      sendOffer: (entryName, offer) => {
        const entry = this.entries.find((candidate) => candidate.name === entryName)
        const port = entry?.ports.get(name)
        if (entry === undefined || port === undefined) return false
        this.delay(() => entry.dispatcher.handleOffer(port, offer))
        return true
      }
    })
    const sidecar: Sidecar = { name, book, slots, running: new Map() }
    setInterval(() => {
      const load = slots.load()
      for (const entry of this.entries) {
        const port = entry.ports.get(name)
        if (port !== undefined) this.delay(() => entry.dispatcher.updateLoad(port, [{ ...load }]))
      }
    }, REPORT_MS)
    return sidecar
  }

  private link (entry: Entry, sidecar: Sidecar): void {
    const { book, slots, name } = sidecar
    const port: SidecarPort = {
      name,
      startId: `start-${name}`,
      dataCentre: 'east',
      address: name,
      sendDemand: (rows) => this.delay(() => {
        if (entry.ports.get(name) !== port) return
        book.updateDemand(entry.name, rows)
        slots.offerFree()
      }),
      sendPass: (offerId) => this.delay(() => slots.declineOffer(offerId)),
      sendPreempt: (_endpoint, className, tier) => this.delay(() => this.preempt(sidecar, entry.name, className, tier))
    }
    entry.ports.set(name, port)
    entry.dispatcher.setEndpoints(port, [{ name, kind: 'engine', serves: MODEL, labels: {} }], false)
    entry.dispatcher.updateLoad(port, [slots.load()])
  }

  private preempt (sidecar: Sidecar, entryName: string, className: string, tier: number): void {
    const before = new Map([...sidecar.running].map(([id, { tracked }]) => [id, tracked]))
    sidecar.slots.preempt(entryName, className, tier)
    for (const [id, tracked] of before) {
      if (sidecar.running.has(id)) continue
      tracked.preemptedBy.push(tier)
      if (tracked.request.tier <= tier) this.violations.push(`tier ${tracked.request.tier} was preempted for tier ${tier}`)
    }
  }

  /** Delays a message by a random time. Messages may overtake each other here, which real links do not allow. */
  private delay (action: () => void): void {
    setTimeout(action, 1 + Math.floor(this.random() * MAX_DELAY_MS))
  }
}
