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

interface Play {
  boxes: number
  perSecond: number
  /** Requests a second of all boxes together that would have the endpoint. */
  demand: number
  /** There and back between a box and the leader, in ms. */
  roundTripMs: number
  seconds: number
  /** When the leader is killed, in s; another one leads a second later. */
  leaderEndsAtS?: number
}

class Together {
  readonly sentAt: number[] = []
  readonly sentBy = new Map<number, number>()
  asks = 0
  private draws = 0
  private ledger: GrantLedger | undefined = new GrantLedger({ startsAt: -Infinity })
  private readonly startedAt = performance.now()
  private readonly boxes: EndpointLimits[]
  private readonly endpoint = new EndpointState({
    incarnation: LIMITED, service: 'lm', dataCentre: 'dc1', address: 'a:1', slots: 64
  })

  constructor (private readonly play: Play) {
    this.boxes = Array.from({ length: play.boxes }, (_unused, index) => this.newBox(`b${index}`))
  }

  async run (): Promise<void> {
    const { seconds, leaderEndsAtS = Infinity, boxes, demand } = this.play
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

  /** The most requests within any window. */
  get busiest (): number {
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
      entryCount: () => this.play.boxes,
      wake: () => {},
      isCold: () => false,
      onLimitEnded: () => {},
      requestGrants: async (wishes) => {
        this.asks += 1
        await this.pass(this.play.roundTripMs / 2)
        const { ledger } = this
        if (ledger === undefined) throw new Error('nobody leads')
        const bounds = [createLimitGrantBound(this.play.perSecond) as GrantBound]
        const grants = wishes.map(({ incarnation, requests, perSecond }) => (
          { ...ledger.grant({ incarnation, box, requests, bounds }, performance.now()), perSecond }
        ))
        await this.pass(this.play.roundTripMs / 2)
        return grants
      }
    })
    limits.recordLimit({ incarnation: LIMITED, limit: { perSecond: this.play.perSecond, sentAt: 0, receivedAt: 0 } })
    return limits
  }

  private async pass (ms: number): Promise<void> {
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

async function played (play: Play): Promise<Together> {
  const together = new Together(play)
  await together.run()
  console.log(`seed ${SEED}: ${play.boxes} boxes, ${play.perSecond} a second, ${play.demand} asked for: ${together.sentAt.length} sent in ` +
    `${play.seconds} s by ${together.sentBy.size} boxes, at most ${together.busiest} in ${WINDOW_MS} ms, ${Math.round(together.asks / play.seconds)} asks a second`)
  return together
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('an endpoint that has named a limit, before many boxes', () => {
  it.each([
    { boxes: 300, perSecond: 1, demand: 150, roundTripMs: 4, seconds: 40 },
    { boxes: 300, perSecond: 1, demand: 150, roundTripMs: 90, seconds: 40 },
    { boxes: 5, perSecond: 1, demand: 10, roundTripMs: 4, seconds: 40 },
    { boxes: 2, perSecond: 20, demand: 100, roundTripMs: 4, seconds: 20 }
  ])('gets no more than it named, and nine tenths of it where there is work: %o', async (play) => {
    const together = await played(play)
    expect(together.busiest).toBeLessThanOrEqual(play.perSecond * WINDOW_MS / SECOND)
    expect(together.sentAt.length).toBeGreaterThanOrEqual(0.9 * play.perSecond * (play.seconds - 1))
  }, 60_000)

  it('is used by all boxes that have work, none of them starved', async () => {
    const together = await played({ boxes: 20, perSecond: 5, demand: 100, roundTripMs: 4, seconds: 40 })
    expect(together.sentBy.size).toBe(20)
    expect(Math.min(...together.sentBy.values())).toBeGreaterThan(together.sentAt.length / 20 / 3)
  }, 60_000)

  it('gets no more than it named when the leader is killed, nothing while nobody leads, and its rate again soon after', async () => {
    const together = await played({ boxes: 20, perSecond: 10, demand: 100, roundTripMs: 4, seconds: 32, leaderEndsAtS: 8 })
    expect(together.busiest).toBeLessThanOrEqual(40)
    expect(together.countBetween(8.1, 10)).toBe(0)
    expect(together.countBetween(12, 32)).toBeGreaterThanOrEqual(0.9 * 10 * 20)
  }, 60_000)
})
