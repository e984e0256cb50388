import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { hashName, type EndpointState } from '@gullwall/routing.balancer'
import { createColdGrantBound, GrantLedger } from '../../../control/program/src/grant-ledger.ts'
import { type Call } from '../src/call.ts'
import { MAX_REQUESTS_PER_SECOND, Box } from './cold-endpoint-fixture.ts'

const LONG_COLD_MS = 60_000
const SECOND_MS = 1000
const TICK_MS = 10
const SECONDS = 10
/** Requests are counted from this time on: control grants nothing for an endpoint when it is first requested. */
const COUNT_START_MS = 2000
const SEED = Number(process.env['FUZZ_SEED'] ?? 3)

interface Scenario {
  boxes: number
  warm: number
  cold: number
  /** Requests a second of each box, at random times. */
  ratePerSecond: number
  /** The time for which a request waits for an endpoint, in ms. */
  waitMs: number
}

interface Waiting {
  box: Box
  call: Call
  until: number
}

/** Boxes that share one grant ledger. Each request goes to the eligible endpoint that has received the fewest requests. */
class Simulation {
  /** The times of the requests that were sent, by incarnation. */
  readonly sent = new Map<string, number[]>()
  total = 0
  refused = 0
  grantRequests = 0
  private readonly boxes: Box[]
  private readonly ledger = new GrantLedger({ startsAt: -Infinity })
  private readonly startedAt = performance.now()
  private waiting: Waiting[] = []

  constructor (private readonly scenario: Scenario, private readonly random: () => number) {
    this.boxes = Array.from({ length: scenario.boxes }, (_unused, index) => this.newBox(`b${index}`))
  }

  async run (): Promise<void> {
    const next = this.boxes.map(() => this.startedAt + this.nextGapMs())
    for (let ms = 0; ms < SECONDS * SECOND_MS; ms += TICK_MS) {
      for (const [index, box] of this.boxes.entries()) {
        for (; (next[index] as number) <= performance.now(); next[index] = (next[index] as number) + this.nextGapMs()) this.arrive(box)
      }
      await vi.advanceTimersByTimeAsync(TICK_MS)
      this.waiting = this.waiting.filter((request) => !this.isOver(request))
    }
  }

  /** Returns the number of requests to endpoints whose names start with a prefix. */
  sentTo (prefix: string): number {
    return [...this.sent].reduce((sum, [incarnation, at]) => incarnation.startsWith(prefix) ? sum + at.length : sum, 0)
  }

  /** The most requests that one cold endpoint received within a second. */
  get peakRate (): number {
    const cold = [...this.sent].flatMap(([incarnation, at]) => incarnation.startsWith('cold') ? [at] : [])
    const countFrom = (at: number[], from: number) => at.filter((time) => time >= from && time <= from + SECOND_MS).length
    return Math.max(...cold.flatMap((at) => at.map((from) => countFrom(at, from))))
  }

  private newBox (name: string): Box {
    const box = new Box(name)
    for (let index = 0; index < this.scenario.warm; index += 1) box.receiveLease(`warm-${index}`, 0)
    for (let index = 0; index < this.scenario.cold; index += 1) box.receiveLease(`cold-${index}`, LONG_COLD_MS)
    box.entries = this.scenario.boxes
    box.answerGrants = async (requests) => {
      this.grantRequests += 1
      return requests.map(
        (each) => this.ledger.grant({ ...each, box: name, bounds: [createColdGrantBound(MAX_REQUESTS_PER_SECOND)] }, performance.now())
      )
    }
    return box
  }

  private nextGapMs (): number {
    return -Math.log(1 - this.random()) * SECOND_MS / this.scenario.ratePerSecond
  }

  private get isCounted (): boolean {
    return performance.now() - this.startedAt > COUNT_START_MS
  }

  private arrive (box: Box): void {
    const call = box.call()
    if (this.isCounted) this.total += 1
    if (!this.send(box, call)) this.waiting.push({ box, call, until: performance.now() + this.scenario.waitMs })
  }

  private isOver ({ box, call, until }: Waiting): boolean {
    if (this.send(box, call)) return true
    if (performance.now() < until) return false
    if (this.isCounted) this.refused += 1
    return true
  }

  private send (box: Box, call: Call): boolean {
    const [chosen] = box.eligible(call).sort((left, right) => this.countOf(left) - this.countOf(right))
    if (chosen === undefined || !box.coldEndpoints.tryTakeGrant(chosen)) return false
    const { incarnation } = chosen.description
    this.sent.set(incarnation, [...this.sent.get(incarnation) ?? [], performance.now()])
    return true
  }

  private countOf ({ description }: EndpointState): number {
    return this.sent.get(description.incarnation)?.length ?? 0
  }
}

async function simulate (scenario: Scenario): Promise<Simulation> {
  let draws = 0
  const simulation = new Simulation(scenario, () => hashName(`${SEED} ${draws++}`) / 2 ** 32)
  await simulation.run()
  const { total, refused, grantRequests, peakRate } = simulation
  console.log(`seed ${SEED}: ${total} requests, ${refused} refused, ${simulation.sentTo('cold')} sent to cold endpoints, ` +
    `at most ${peakRate} of ${MAX_REQUESTS_PER_SECOND} to one within a second, ${Math.round(grantRequests / SECONDS)} grant requests a second`)
  return simulation
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('a data centre whose endpoints are all cold', () => {
  it('receives requests at the granted rate, while warm endpoints elsewhere serve the rest', async () => {
    const simulation = await simulate({ boxes: 28, warm: 24, cold: 12, ratePerSecond: 5.2, waitMs: 80 })
    expect(simulation.peakRate).toBeLessThanOrEqual(MAX_REQUESTS_PER_SECOND)
    expect(simulation.refused).toBe(0)
    // All cold endpoints are used.
    expect([...simulation.sent.keys()].filter((name) => name.startsWith('cold'))).toHaveLength(12)
    expect(simulation.sentTo('cold')).toBeGreaterThan(simulation.sentTo('warm') / 4)
  }, 20_000)
})

describe('a service with only cold endpoints', () => {
  it('serves requests at the granted rate and refuses the others', async () => {
    const withinRate = await simulate({ boxes: 28, warm: 0, cold: 36, ratePerSecond: 5.2, waitMs: 80 })
    expect(withinRate.peakRate).toBeLessThanOrEqual(MAX_REQUESTS_PER_SECOND)
    expect(withinRate.refused).toBeLessThan(withinRate.total / 20)
    const aboveRate = await simulate({ boxes: 28, warm: 0, cold: 3, ratePerSecond: 5.2, waitMs: 80 })
    expect(aboveRate.peakRate).toBeLessThanOrEqual(MAX_REQUESTS_PER_SECOND)
    expect(aboveRate.refused).toBeGreaterThan(aboveRate.total / 2)
    expect(aboveRate.sentTo('cold')).toBeGreaterThan(3 * 5 * SECONDS)
  }, 20_000)
})
