import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { silentLogger } from '@gullwall/core.logger'
import { EndpointState, hashName } from '@gullwall/routing.balancer'
import { GRANT_LEASE_MS } from '../../../control/program/src/leased-grant-ledger.ts'
import { GrantLedger, createLimitGrantBound, COLD_ACCOUNTING_WINDOW_MS, type GrantBound } from '../../../control/program/src/grant-ledger.ts'
import { EndpointLimits } from '../src/endpoint-limits.ts'
import { GrantPool } from '../src/grant-pool.ts'

const WINDOW_MS = 4000
const SECOND = 1000
const TICK_MS = 1
const SEED = Number(process.env['FUZZ_SEED'] ?? 4)
const LIMITED = 'i-limited'

interface Scenario {
  boxes: number
  /** The advertised limit. */
  perSecond: number
  /** Requests a second for the endpoint, from all boxes together. */
  demand: number
  /** Round-trip time between a box and the leader, in ms. */
  roundTripMs: number
  seconds: number
  /** When the leader is killed, in s; another one leads a second later. */
  leaderEndsAtS?: number
}

/** Simulates boxes that send requests to one limited endpoint under grants of a leader. */
class Simulation {
  readonly sentAt: number[] = []
  readonly sentBy = new Map<number, number>()
  messages = 0
  private draws = 0
  private ledger: GrantLedger | undefined = new GrantLedger({ startsAt: -Infinity })
  private readonly startedAt = performance.now()
  private readonly boxes: EndpointLimits[]
  private readonly endpoint = new EndpointState({
    incarnation: LIMITED, service: 'lm', dataCentre: 'dc1', address: 'a:1', slots: 64
  })

  constructor (private readonly scenario: Scenario) {
    this.boxes = Array.from({ length: scenario.boxes }, (_unused, index) => this.newBox(`b${index}`))
  }

  async run (): Promise<void> {
    const { seconds, leaderEndsAtS = Infinity, boxes, demand } = this.scenario
    let nextAt = 0
    for (let ms = 0; ms < seconds * SECOND; ms += TICK_MS) {
      if (ms === leaderEndsAtS * SECOND) this.ledger = undefined
      if (ms === (leaderEndsAtS + 1) * SECOND) {
        this.ledger = new GrantLedger({ startsAt: performance.now() + GRANT_LEASE_MS + COLD_ACCOUNTING_WINDOW_MS })
      }
      for (; nextAt <= ms; nextAt += -Math.log(1 - this.draw()) * SECOND / demand) void this.arrive(Math.floor(this.draw() * boxes))
      await vi.advanceTimersByTimeAsync(TICK_MS)
    }
  }

  /** Maximum number of requests in any window. */
  get maxPerWindow (): number {
    return Math.max(0, ...this.sentAt.map((from) => this.sentAt.filter((at) => at >= from && at < from + WINDOW_MS).length))
  }

  countBetween (fromS: number, toS: number): number {
    const at = (second: number) => this.startedAt + second * SECOND
    return this.sentAt.filter((moment) => moment >= at(fromS) && moment < at(toS)).length
  }

  private draw (): number {
    return hashName(`${SEED} ${this.draws++}`) / 2 ** 32
  }

  private newBox (box: string): EndpointLimits {
    const limits = new EndpointLimits({
      logger: silentLogger(),
      now: () => performance.now(),
      grantPool: new GrantPool(),
      entryCount: () => this.scenario.boxes,
      wake: () => {},
      isCold: () => false,
      onLimitEnded: () => {},
      requestGrants: async (grantRequests) => {
        this.messages += 1
        await this.delay(this.scenario.roundTripMs / 2)
        const { ledger } = this
        if (ledger === undefined) throw new Error('no leader')
        const bounds = [createLimitGrantBound(this.scenario.perSecond) as GrantBound]
        const grants = grantRequests.map(({ incarnation, requests, perSecond }) => (
          { ...ledger.grant({ incarnation, box, requests, bounds }, performance.now()), perSecond }
        ))
        await this.delay(this.scenario.roundTripMs / 2)
        return grants
      }
    })
    limits.recordLimit({ incarnation: LIMITED, limit: { perSecond: this.scenario.perSecond, sentAt: 0, receivedAt: 0 } })
    return limits
  }

  private async delay (ms: number): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, ms) })
  }

  private async arrive (index: number): Promise<void> {
    const box = this.boxes[index] as EndpointLimits
    if (box.waitMs(LIMITED) > 0) return
    if (box.needsGrant(this.endpoint)) await box.requestGrant(this.endpoint)
    if (box.takeGrant(LIMITED) === undefined) return
    this.sentAt.push(performance.now())
    this.sentBy.set(index, (this.sentBy.get(index) ?? 0) + 1)
  }
}

async function simulate (scenario: Scenario): Promise<Simulation> {
  const simulation = new Simulation(scenario)
  await simulation.run()
  const { boxes, perSecond, demand, seconds } = scenario
  console.log(`seed ${SEED}: ${boxes} boxes, limit ${perSecond}/s, demand ${demand}/s: ${simulation.sentAt.length} sent in ` +
    `${seconds} s by ${simulation.sentBy.size} boxes, at most ${simulation.maxPerWindow} in ${WINDOW_MS} ms, ` +
    `${Math.round(simulation.messages / seconds)} messages/s`)
  return simulation
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('an endpoint that advertises a limit to many boxes', () => {
  it.each([
    { boxes: 300, perSecond: 1, demand: 150, roundTripMs: 4, seconds: 40 },
    { boxes: 300, perSecond: 1, demand: 150, roundTripMs: 90, seconds: 40 },
    { boxes: 5, perSecond: 1, demand: 10, roundTripMs: 4, seconds: 40 },
    { boxes: 2, perSecond: 20, demand: 100, roundTripMs: 4, seconds: 20 }
  ])('receives no more than its limit, and nine tenths of the limit under sufficient demand: %o', async (scenario) => {
    const simulation = await simulate(scenario)
    expect(simulation.maxPerWindow).toBeLessThanOrEqual(scenario.perSecond * WINDOW_MS / SECOND)
    expect(simulation.sentAt.length).toBeGreaterThanOrEqual(0.9 * scenario.perSecond * (scenario.seconds - 1))
  }, 60_000)

  it('receives requests from all boxes, and no box starves', async () => {
    const simulation = await simulate({ boxes: 20, perSecond: 5, demand: 100, roundTripMs: 4, seconds: 40 })
    expect(simulation.sentBy.size).toBe(20)
    expect(Math.min(...simulation.sentBy.values())).toBeGreaterThan(simulation.sentAt.length / 20 / 3)
  }, 60_000)

  it('receives no more than its limit when the leader is killed, nothing without a leader, and its full rate soon after', async () => {
    const simulation = await simulate({ boxes: 20, perSecond: 10, demand: 100, roundTripMs: 4, seconds: 32, leaderEndsAtS: 8 })
    expect(simulation.maxPerWindow).toBeLessThanOrEqual(40)
    expect(simulation.countBetween(8.1, 10)).toBe(0)
    expect(simulation.countBetween(12, 32)).toBeGreaterThanOrEqual(0.9 * 10 * 20)
  }, 60_000)
})
