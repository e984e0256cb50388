import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import { WorkloadTable } from '@gullwall/control.workload'
import { choose, EndpointState, NO_OTHERS_LOAD, OutputLengthEstimator, requestSizeOf, type ChoiceRequest, type PromptPart, type InFlightRequest } from '@gullwall/routing.balancer'
import { MemoryEngine, type EngineRequest, type FinishedRun } from './simulated-engine.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 31)
/** Others than those on which the limits were chosen. */
const SEEDS = [SEED, SEED + 1, SEED + 2]
const ENGINES = 8
const GATEWAYS = 6
const SLOTS = 64
const MEMORY_TOKENS = 267_572
const SECONDS = 30
const TARGET_MS = 1500
const TICK_MS = 5
const WORD_MS = 60
/** For how long a request waits at its gateway for an engine with room. */
const PATIENCE_MS = 375
const SUBJECTS = 240

interface Arrival extends EngineRequest {
  at: number
  tier: number
  expectedTokens: number
  gateway: number
}

interface Outcome {
  sent: number
  /** Shares of all: refused, put back, waited over 100 ms at their engines, first token in time. */
  refused: number
  preempted: number
  queued: number
  inTime: number
  /** In thousands. */
  readTokens: number
}

/** Arrivals as data: the users' sizes, answers of 25 to 280 tokens, estimates that are right at the median. */
function arrivalsOf (perSecond: number, seed: number): Arrival[] {
  const generator = xoroshiro128plus(seed)
  const random = () => uniformFloat64(generator)
  const normal = () => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const arrivals: Arrival[] = []
  for (let at = 0; at < SECONDS * 1000; at += -Math.log(1 - random()) * 1000 / perSecond) {
    const outputTokens = Math.round(Math.min(280, Math.max(25, 140 * Math.exp(0.6 * normal()))))
    const tier = random() < 0.3 ? 1 : 2
    arrivals.push({
      id: arrivals.length,
      at,
      tier,
      urgency: 3 * tier,
      subject: `subject-${Math.floor(SUBJECTS * random() ** 2)}`,
      sharedTokens: 6300,
      ownTokens: Math.round(2900 * (0.5 + random())),
      outputTokens,
      expectedTokens: Math.round(outputTokens * Math.exp(0.8 * normal())),
      gateway: Math.floor(GATEWAYS * random())
    })
  }
  return arrivals
}

const promptOf = ({ subject, sharedTokens, id, ownTokens }: Arrival): PromptPart[] => (
  [{ id: subject, tokens: sharedTokens }, { id: `own-${id}`, tokens: ownTokens }]
)

/** The engines as one gateway sees them. */
function enginesOf (): EndpointState[] {
  return Array.from({ length: ENGINES }, (_, index) => new EndpointState({
    incarnation: `i-${index}`, service: 'lm', address: `10.0.0.${index}:80`, dataCentre: 'dc1', slots: SLOTS
  }, MEMORY_TOKENS))
}

/** Plays arrivals against the decision of gateways that hear of each other each 60 ms. */
class Replay {
  private readonly engines = Array.from({ length: ENGINES }, () => new MemoryEngine(SLOTS, MEMORY_TOKENS))
  private readonly views = Array.from({ length: GATEWAYS }, enginesOf)
  private readonly outputs = new OutputLengthEstimator()
  private readonly works = new Map<number, { work: InFlightRequest, endpoint: EndpointState }>()
  private readonly finished: FinishedRun[] = []
  private sent = 0
  private refused = 0
  private held: Arrival[] = []

  constructor (private readonly arrivals: readonly Arrival[], private readonly heedsMemory: boolean) {}

  run (): Outcome {
    let next = 0
    for (let now = 0; now < (SECONDS + 20) * 1000; now += TICK_MS) {
      this.advance(now)
      if (now % WORD_MS === 0) this.tell(now)
      const due = [...this.held]
      this.held = []
      for (let arrival = this.arrivals[next]; arrival !== undefined && arrival.at <= now; arrival = this.arrivals[next]) {
        due.push(arrival)
        next += 1
      }
      for (const arrival of due) this.decide(arrival, now)
    }
    return this.outcome
  }

  private get outcome (): Outcome {
    const share = (count: number) => Math.round(1000 * count / this.arrivals.length) / 1000
    return {
      sent: this.sent,
      refused: share(this.refused),
      preempted: share(this.finished.filter(({ wasPreempted }) => wasPreempted).length),
      queued: share(this.finished.filter(({ queuedMs }) => queuedMs > 100).length),
      inTime: share(this.finished.filter(({ firstMs }) => firstMs <= TARGET_MS).length),
      readTokens: Math.round(this.engines.reduce((sum, { readTokens }) => sum + readTokens, 0) / 1000)
    }
  }

  private decide (arrival: Arrival, now: number): void {
    const view = this.views[arrival.gateway] ?? []
    const prompt = promptOf(arrival)
    this.outputs.record('ask', arrival)
    const outputTokens = this.outputs.estimate('ask', arrival)
    const demand: ChoiceRequest = {
      prompt,
      dataCentre: 'dc1',
      tier: arrival.tier,
      isResumed: false,
      needsSlot: true,
      targetMs: TARGET_MS,
      maxPauseMs: 1000,
      excluded: new Set(),
      copySources: [],
      isAffinityTrusted: false,
      isPauseSensitive: false,
      reserved: new Set(),
      size: this.heedsMemory ? requestSizeOf(prompt, outputTokens) : undefined
    }
    const chosen = choose(demand, view, now)
    if (chosen === undefined && now - arrival.at < PATIENCE_MS) this.held.push(arrival)
    else if (chosen === undefined || chosen.waitMs > TARGET_MS) this.refused += 1
    else {
      const { endpoint, unreadTokens, urgency } = chosen
      const work = endpoint.begin({ prompt, unreadTokens, urgency, pauseSensitivity: 0.1, isPauseSensitive: false, outputTokens }, now)
      this.works.set(arrival.id, { work, endpoint })
      this.sent += 1
      this.engines[view.indexOf(endpoint)]?.send({ ...arrival, urgency }, now)
    }
  }

  private advance (now: number): void {
    for (const engine of this.engines) {
      const { begun, ended } = engine.advance(now)
      for (const { id } of begun) {
        const known = this.works.get(id)
        known?.endpoint.recordEvents(known.work, now)
      }
      for (const run of ended) {
        const known = this.works.get(run.request.id)
        known?.endpoint.end(known.work, 'good', now)
        this.finished.push(run)
      }
    }
  }

  /** Each gateway hears what the others have, by the sums that control makes. */
  private tell (now: number): void {
    const table = new WorkloadTable<number>()
    for (const [source, view] of this.views.entries()) {
      table.replace(source, view.filter(({ inFlight }) => inFlight > 0).map((endpoint) => ({
        incarnation: endpoint.description.incarnation,
        unread: endpoint.ownUnread(),
        running: endpoint.inFlight,
        strain: endpoint.ownPauseSensitivity,
        sensitive: 0,
        unreachable: 0,
        memory: { ...endpoint.memory.use, subjects: [...endpoint.memory.use.subjects] as [number, number] }
      })))
    }
    for (const [source, view] of this.views.entries()) {
      for (const endpoint of view) {
        const sum = table.sumAt(endpoint.description.incarnation, (other) => other !== source)
        endpoint.othersLoad = sum.running > 0 ? sum : NO_OTHERS_LOAD
        endpoint.samplePrefill(now)
      }
    }
  }
}

/** The mean over several loads. */
function meanOf (perSecond: number, heedsMemory: boolean): Outcome {
  const outcomes = SEEDS.map((seed) => new Replay(arrivalsOf(perSecond, seed), heedsMemory).run())
  const sumOf = (field: keyof Outcome) => outcomes.reduce((sum, outcome) => sum + outcome[field], 0)
  const mean = (field: keyof Outcome) => Math.round(1000 * sumOf(field) / outcomes.length) / 1000
  return {
    sent: mean('sent'),
    refused: mean('refused'),
    preempted: mean('preempted'),
    queued: mean('queued'),
    inTime: mean('inTime'),
    readTokens: mean('readTokens')
  }
}

describe('a load at which memory binds before slots', () => {
  it.each([38, 55])('waits and is put back less often where the choice counts what engines hold, at %i requests a second', (perSecond) => {
    const [before, after] = [false, true].map((heedsMemory) => meanOf(perSecond, heedsMemory))
    const told = `before ${JSON.stringify(before)}\n  after ${JSON.stringify(after)}`
    console.log(`seeds ${SEEDS.join(' ')}, ${perSecond}/s\n  ${told}`)
    if (before === undefined || after === undefined) throw new Error('no outcome')
    expect(after.queued).toBeLessThan(0.6 * before.queued)
    expect(after.preempted).toBeLessThan(before.preempted)
    expect(after.inTime).toBeGreaterThan(before.inTime)
  })
})
