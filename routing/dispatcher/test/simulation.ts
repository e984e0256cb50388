/** Entries and sidecars in one process: the real decisions, with messages that take virtual time. */
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

export interface WorldClass {
  name: string
  tier: number
  floor: number
}

/** What became of one request. */
export interface Fate {
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
  running: Map<string, { fate: Fate, end: (preempted: boolean) => void }>
}

export interface WorldOptions {
  seed: number
  entries: number
  endpoints: number
  limit: number
  maxQueued: number
  classes: WorldClass[]
}

const MODEL = 'parts'
const MAX_DELAY_MS = 4
const REPORT_MS = 50

export class World {
  readonly fates: Fate[] = []
  readonly violations: string[] = []
  /** Grants of slots, in order. */
  readonly started: Fate[] = []
  readonly sidecars: Sidecar[] = []
  private readonly entries: Entry[] = []
  private readonly random: () => number
  private attempts = 0

  constructor (private readonly options: WorldOptions) {
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

  /** Sends a request to an entry; it runs for `runMs` once it has a slot. */
  send (entryIndex: number, className: string, organisation: string, runMs: number): Fate {
    const entry = this.entries[entryIndex % this.entries.length] as Entry
    const found = this.options.classes.find(({ name }) => name === className) as WorldClass
    const request: RoutedRequest = {
      id: `r${this.fates.length}`,
      group: className,
      class: className,
      tier: found.tier,
      floor: found.floor,
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
    const fate: Fate = { request, state: 'waiting', runs: 0, preemptedBy: [], startedAt: 0 }
    this.fates.push(fate)
    void this.serve(entry, fate, runMs, false)
    return fate
  }

  /** Cuts an entry's link to a sidecar and opens it again. */
  relink (entryIndex: number, sidecarIndex: number): void {
    const entry = this.entries[entryIndex % this.entries.length] as Entry
    const sidecar = this.sidecars[sidecarIndex % this.sidecars.length] as Sidecar
    const port = entry.ports.get(sidecar.name)
    if (port !== undefined) entry.dispatcher.removeSidecar(port)
    sidecar.book.removeEntry(entry.name)
    this.link(entry, sidecar)
  }

  private async serve (entry: Entry, fate: Fate, runMs: number, front: boolean): Promise<void> {
    const submitted = entry.dispatcher.submit(fate.request, { atFront: front })
    const result = await submitted
    result.caseOf({
      Left: (refusal) => {
        fate.state = 'refused'
        if (refusal.reason === 'queue-full') this.noteShed(entry, fate)
      },
      Right: (grant) => this.attempt(entry, fate, grant, runMs)
    })
  }

  /** A request must not be given up while one of a lower tier waits at the same entry. */
  private noteShed (entry: Entry, fate: Fate): void {
    const lower = [...entry.dispatcher.countQueuedByClass().keys()].filter((name) => {
      return (this.options.classes.find((known) => known.name === name)?.tier ?? 0) > fate.request.tier
    })
    if (lower.length > 0) this.violations.push(`${fate.request.class} was shed while ${lower.join()} waits`)
  }

  private attempt (entry: Entry, fate: Fate, grant: Grant, runMs: number): void {
    const sidecar = this.sidecars.find(({ name }) => name === grant.sidecar.name) as Sidecar
    this.attempts += 1
    const attemptId = `a${this.attempts}`
    this.later(() => {
      const { tier } = fate.request
      const waiting = sidecar.book.findHighestTier(sidecar.name)
      const admitted = sidecar.slots.admit({ attemptId, entry: entry.name, offerId: grant.offerId, tier, preemptible: true }, () => {
        sidecar.running.get(attemptId)?.end(true)
      })
      if (!admitted) {
        this.later(() => {
          entry.dispatcher.completeGrant(grant, true)
          entry.dispatcher.recordBusy(grant.endpoint)
          void this.serve(entry, fate, runMs, true)
        })
        return
      }
      if (grant.offerId === undefined && waiting !== undefined && waiting <= tier) this.violations.push('a slot went past waiting work of its tier')
      this.run(entry, sidecar, fate, grant, attemptId, runMs)
    })
  }

  private run (entry: Entry, sidecar: Sidecar, fate: Fate, grant: Grant, attemptId: string, runMs: number): void {
    fate.state = 'running'
    fate.runs += 1
    fate.startedAt = performance.now()
    this.started.push(fate)
    if (sidecar.slots.inFlight > this.options.limit) this.violations.push('more in flight than the limit')
    const timer = setTimeout(() => end(false), runMs)
    const end = (preempted: boolean) => {
      clearTimeout(timer)
      sidecar.running.delete(attemptId)
      const left = runMs - (performance.now() - fate.startedAt)
      fate.state = preempted ? 'waiting' : 'done'
      queueMicrotask(() => sidecar.slots.release(attemptId))
      this.later(() => {
        entry.dispatcher.completeGrant(grant, true)
        if (preempted) void this.serve(entry, fate, left, true)
      })
    }
    sidecar.running.set(attemptId, { fate, end })
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
        this.later(() => entry.dispatcher.handleOffer(port, offer))
        return true
      }
    })
    const sidecar: Sidecar = { name, book, slots, running: new Map() }
    setInterval(() => {
      const load = slots.load()
      for (const entry of this.entries) {
        const port = entry.ports.get(name)
        if (port !== undefined) this.later(() => entry.dispatcher.updateLoad(port, [{ ...load }]))
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
      sendDemand: (rows) => this.later(() => {
        if (entry.ports.get(name) !== port) return
        book.updateDemand(entry.name, rows)
        slots.offerFree()
      }),
      sendPass: (offerId) => this.later(() => slots.pass(offerId)),
      sendPreempt: (_endpoint, className, tier) => this.later(() => this.preempt(sidecar, entry.name, className, tier))
    }
    entry.ports.set(name, port)
    entry.dispatcher.setEndpoints(port, [{ name, kind: 'engine', serves: MODEL, labels: {} }], false)
    entry.dispatcher.updateLoad(port, [slots.load()])
  }

  private preempt (sidecar: Sidecar, entryName: string, className: string, tier: number): void {
    const before = new Map([...sidecar.running].map(([id, { fate }]) => [id, fate]))
    sidecar.slots.preempt(entryName, className, tier)
    for (const [id, fate] of before) {
      if (sidecar.running.has(id)) continue
      fate.preemptedBy.push(tier)
      if (fate.request.tier <= tier) this.violations.push(`tier ${fate.request.tier} was preempted for tier ${tier}`)
    }
  }

  /** Messages on one link keep their order in the system; here each takes its own time, which is harder. */
  private later (action: () => void): void {
    setTimeout(action, 1 + Math.floor(this.random() * MAX_DELAY_MS))
  }
}
