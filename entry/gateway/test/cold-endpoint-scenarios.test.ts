import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { hashName, type EndpointState } from '@gullwall/routing.balancer'
import { createColdGrantBound, GrantLedger } from '../../../control/program/src/grant-ledger.ts'
import { type Call } from '../src/call.ts'
import { MAX_REQUESTS_PER_SECOND, Box } from './cold-endpoint-fixture.ts'

const LONG_COLD_MS = 60_000
const SECOND = 1000
const TICK_MS = 10
const SECONDS = 10
/** Nothing is counted until endpoints that were never asked for are granted. */
const SETTLED_MS = 2000
const SEED = Number(process.env['FUZZ_SEED'] ?? 3)

interface Play {
  boxes: number
  warm: number
  cold: number
  /** Requests of each box in a second, at random moments. */
  rate: number
  /** For how long a request waits for an endpoint, in ms. */
  patienceMs: number
}

interface Waiting {
  box: Box
  call: Call
  until: number
}

/** Boxes that share one ledger, and requests that take the endpoint which has had the fewest, as empty ones look. */
class Together {
  readonly sent = new Map<string, number[]>()
  total = 0
  refused = 0
  asks = 0
  private readonly boxes: Box[]
  private readonly ledger = new GrantLedger({ startsAt: -Infinity })
  private readonly startedAt = performance.now()
  private waiting: Waiting[] = []

  constructor (private readonly play: Play, private readonly random: () => number) {
    this.boxes = Array.from({ length: play.boxes }, (_unused, index) => this.newBox(`b${index}`))
  }

  async run (): Promise<void> {
    const next = this.boxes.map(() => this.startedAt + this.gap())
    for (let ms = 0; ms < SECONDS * SECOND; ms += TICK_MS) {
      for (const [index, box] of this.boxes.entries()) {
        for (; (next[index] as number) <= performance.now(); next[index] = (next[index] as number) + this.gap()) this.arrive(box)
      }
      await vi.advanceTimersByTimeAsync(TICK_MS)
      this.waiting = this.waiting.filter((request) => !this.isOver(request))
    }
  }

  /** How many requests went to endpoints whose names begin so. */
  sentTo (prefix: string): number {
    return [...this.sent].reduce((sum, [incarnation, at]) => incarnation.startsWith(prefix) ? sum + at.length : sum, 0)
  }

  /** The most requests that one cold endpoint had within a second. */
  get busiest (): number {
    const cold = [...this.sent].flatMap(([incarnation, at]) => incarnation.startsWith('cold') ? [at] : [])
    const within = (at: number[], from: number) => at.filter((moment) => moment >= from && moment <= from + SECOND).length
    return Math.max(...cold.flatMap((at) => at.map((from) => within(at, from))))
  }

  private newBox (name: string): Box {
    const box = new Box(name)
    for (let index = 0; index < this.play.warm; index += 1) box.receiveLease(`warm-${index}`, 0)
    for (let index = 0; index < this.play.cold; index += 1) box.receiveLease(`cold-${index}`, LONG_COLD_MS)
    box.entries = this.play.boxes
    box.answerGrants = async (wishes) => {
      this.asks += 1
      return wishes.map(
        (wish) => this.ledger.grant({ ...wish, box: name, bounds: [createColdGrantBound(MAX_REQUESTS_PER_SECOND)] }, performance.now())
      )
    }
    return box
  }

  private gap (): number {
    return -Math.log(1 - this.random()) * SECOND / this.play.rate
  }

  private get isCounted (): boolean {
    return performance.now() - this.startedAt > SETTLED_MS
  }

  private arrive (box: Box): void {
    const call = box.call()
    if (this.isCounted) this.total += 1
    if (!this.send(box, call)) this.waiting.push({ box, call, until: performance.now() + this.play.patienceMs })
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

async function played (play: Play): Promise<Together> {
  let draws = 0
  const together = new Together(play, () => hashName(`${SEED} ${draws++}`) / 2 ** 32)
  await together.run()
  const { total, refused, asks, busiest } = together
  console.log(`seed ${SEED}: ${total} requests, ${refused} refused, ${together.sentTo('cold')} sent to cold endpoints, ` +
    `at most ${busiest} of ${MAX_REQUESTS_PER_SECOND} to one within a second, ${Math.round(asks / SECONDS)} asks a second`)
  return together
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('a whole data centre that comes back cold', () => {
  it('fills up at the granted rate, while warm endpoints elsewhere take the work', async () => {
    const together = await played({ boxes: 28, warm: 24, cold: 12, rate: 5.2, patienceMs: 80 })
    expect(together.busiest).toBeLessThanOrEqual(MAX_REQUESTS_PER_SECOND)
    expect(together.refused).toBe(0)
    // All of them are used, and no request but those of the first second would wait for them.
    expect([...together.sent.keys()].filter((name) => name.startsWith('cold'))).toHaveLength(12)
    expect(together.sentTo('cold')).toBeGreaterThan(together.sentTo('warm') / 4)
  }, 20_000)
})

describe('a service all of whose endpoints are cold', () => {
  it('is served at the granted rate, and refuses what comes beyond it', async () => {
    const enough = await played({ boxes: 28, warm: 0, cold: 36, rate: 5.2, patienceMs: 80 })
    expect(enough.busiest).toBeLessThanOrEqual(MAX_REQUESTS_PER_SECOND)
    expect(enough.refused).toBeLessThan(enough.total / 20)
    const tooMuch = await played({ boxes: 28, warm: 0, cold: 3, rate: 5.2, patienceMs: 80 })
    expect(tooMuch.busiest).toBeLessThanOrEqual(MAX_REQUESTS_PER_SECOND)
    expect(tooMuch.refused).toBeGreaterThan(tooMuch.total / 2)
    expect(tooMuch.sentTo('cold')).toBeGreaterThan(3 * 5 * SECONDS)
  }, 20_000)
})
