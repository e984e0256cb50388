import { describe, expect, it } from 'vitest'
import { type Scaling } from '@gullwall/config.document'
import { computeStabilisationMs, ScalingPolicy, type Demand } from '../src/scaling-policy.ts'

const SAMPLE_INTERVAL_MS = 500
const SLOTS = 10
const SCALING: Scaling = { min: 1, max: 12, bootMs: 10_000 }
const STABILISATION_MS = computeStabilisationMs(SCALING)
const SEED = Number(process.env['SEED'] ?? 11)
console.log(`scaling policy: SEED=${SEED}`)

interface Order {
  at: number
  desired: number
}

interface Scenario {
  /** Returns the number of requests in progress at a time. */
  running: (at: number) => number
  forMs: number
  scaling?: Scaling
  start?: number
  /** The number of the previous order; undefined if there was none. */
  ordered?: number
  /** Changes a sample, or omits it by returning undefined. */
  change?: (demand: Demand, at: number) => Demand | undefined
}

/** Runs the policy on a scenario in which ordered endpoints become ready after the boot time. Returns the orders. */
function runPolicy ({ running, forMs, scaling = SCALING, start = 2, ordered, change = (demand) => demand }: Scenario): Order[] {
  const policy = new ScalingPolicy()
  const orders: Order[] = []
  let current = ordered
  let ready = start
  const boots: Order[] = []
  for (let at = 0; at <= forMs; at += SAMPLE_INTERVAL_MS) {
    while (boots[0] !== undefined && boots[0].at <= at) ready = boots.shift()?.desired ?? ready
    const demand = change({
      readyEndpoints: ready,
      slots: SLOTS * ready,
      running: running(at),
      unreadTokens: 0,
      tokensPerMs: 30,
      targetWaitMs: 250,
      isComplete: true
    }, at)
    if (demand === undefined) continue
    policy.observe(demand, scaling, at)
    const next = policy.decide(current, scaling, at)
    if (next === undefined) continue
    current = next.desired
    orders.push({ at, desired: current })
    if (current > ready) boots.push({ at: at + scaling.bootMs, desired: current })
    else ready = current
  }
  return orders
}

/** Creates a deterministic generator of uniform numbers between -1 and 1. */
function createScatter (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return 2 * state / 2_147_483_648 - 1
  }
}

const withReadyEndpoints = (demand: Demand, count: number): Demand => ({ ...demand, readyEndpoints: count, slots: SLOTS * count })

describe('ScalingPolicy', () => {
  it('orders nothing while the endpoints match the demand', () => {
    expect(runPolicy({ running: () => 12, forMs: 10 * STABILISATION_MS })).toEqual([])
  })

  it('scales up at once at a burst, and down only after the stabilisation time', () => {
    const [from, to] = [20_000, 40_000]
    const orders = runPolicy({ running: (at) => at >= from && at < to ? 70 : 12, forMs: 200_000 })
    const firstUp = orders[0]
    expect(firstUp?.at).toBeGreaterThanOrEqual(from)
    expect(firstUp?.at).toBeLessThanOrEqual(from + 2 * SAMPLE_INTERVAL_MS)
    // The first order covers the whole burst, and the jump does not count as a trend.
    expect(firstUp?.desired).toBe(10)
    expect(Math.max(...orders.map(({ desired }) => desired))).toBe(10)
    const firstDown = orders.find(({ desired }, index) => index > 0 && desired < (orders[index - 1]?.desired ?? 0))
    expect(firstDown?.at).toBeGreaterThanOrEqual(to + STABILISATION_MS - SAMPLE_INTERVAL_MS)
    expect(orders.at(-1)?.desired).toBe(2)
    // No order repeats the previous one.
    for (const [index, { desired }] of orders.entries()) expect(desired).not.toBe(orders[index - 1]?.desired)
  })

  it('orders endpoints one boot time ahead of a slow rise', () => {
    const perMs = 40 / 200_000
    const running = (at: number) => 10 + Math.max(0, at - 30_000) * perMs
    const orders = runPolicy({ running, forMs: 230_000 })
    for (const { at, desired } of orders) {
      const served = running(at + SCALING.bootMs) / SLOTS
      expect(desired).toBeGreaterThanOrEqual(served)
    }
    const isEnoughAt = (at: number) => orders.filter((order) => order.at + SCALING.bootMs <= at).at(-1)?.desired ?? 2
    for (let at = 0; at <= 230_000; at += 1000) expect(SLOTS * isEnoughAt(at)).toBeGreaterThanOrEqual(running(at))
    // The number never decreases during the rise.
    expect(orders.map(({ desired }) => desired)).toEqual([...orders.map(({ desired }) => desired)].sort((a, b) => a - b))
  })

  it('does not follow scatter of the demand', () => {
    const next = createScatter(SEED)
    const orders = runPolicy({ running: () => Math.round(24 + 7 * next()), forMs: 1_800_000, start: 4 })
    // The highest load within the stabilisation time may be ordered, and may be reduced once.
    expect(orders.length).toBeLessThanOrEqual(4)
  })

  it('stays within min and max', () => {
    const scaling = { ...SCALING, min: 2, max: 5 }
    const orders = runPolicy({ running: (at) => at < 60_000 ? 500 : 0, forMs: 300_000, scaling, start: 3 })
    expect(orders.map(({ desired }) => desired)).toEqual([5, 2])
  })

  it('raises the number to a new min, and keeps one endpoint if min is 0', () => {
    expect(runPolicy({ running: () => 0, forMs: 60_000, scaling: { ...SCALING, min: 4 }, ordered: 2 })[0]?.desired).toBe(4)
    const emptied = runPolicy({ running: () => 0, forMs: 300_000, scaling: { ...SCALING, min: 0 }, ordered: 2 })
    expect(emptied.map(({ desired }) => desired)).toEqual([1])
  })

  it('scales up if the wait for unread prompts exceeds the target', () => {
    const orders = runPolicy({
      running: () => 5,
      forMs: 30_000,
      change: (demand, at) => at < 20_000 ? demand : { ...demand, unreadTokens: 45_000 }
    })
    // 45,000 tokens at 30 per ms take 1,500 ms, six times the target wait.
    expect(Math.max(...orders.map(({ desired }) => desired))).toBeGreaterThanOrEqual(6)
  })

  it('does not scale down while ordered endpoints boot', () => {
    const orders = runPolicy({
      running: () => 1,
      forMs: 10 * STABILISATION_MS,
      ordered: 6,
      change: (demand, at) => withReadyEndpoints(demand, at < 5 * STABILISATION_MS ? 5 : 6)
    })
    expect(orders).toEqual([{ at: 5 * STABILISATION_MS, desired: 1 }])
  })

  it('does not scale down on partial data, or within the stabilisation time after a gap between samples', () => {
    const partly = runPolicy({
      running: () => 1, forMs: 10 * STABILISATION_MS, ordered: 2, change: (demand) => ({ ...demand, isComplete: false })
    })
    expect(partly).toEqual([])
    const frozen = [STABILISATION_MS - 8000, STABILISATION_MS]
    const thawed = runPolicy({
      running: () => 1,
      forMs: 3 * STABILISATION_MS,
      ordered: 2,
      change: (demand, at) => at > (frozen[0] ?? 0) && at < (frozen[1] ?? 0) ? undefined : demand
    })
    expect(thawed).toEqual([{ at: 2 * STABILISATION_MS, desired: 1 }])
  })

  it('decides nothing before all endpoints can be known', () => {
    const orders = runPolicy({ running: () => 80, forMs: 10_000 })
    expect(orders[0]?.at).toBeGreaterThanOrEqual(5000)
  })
})
