import { describe, expect, it } from 'vitest'
import { type Scaling } from '@gullwall/config.document'
import { computeStabilisationMs, ScalingPolicy, type Demand } from '../src/scaling-policy.ts'

const LOOK_MS = 500
const SLOTS = 10
const SCALING: Scaling = { min: 1, max: 12, bootMs: 10_000 }
const HOLD_MS = computeStabilisationMs(SCALING)
const SEED = Number(process.env['SEED'] ?? 11)
console.log(`scaling policy: SEED=${SEED}`)

interface Order {
  at: number
  desired: number
}

interface Replay {
  /** Requests that run at a time. */
  running: (at: number) => number
  forMs: number
  scaling?: Scaling
  start?: number
  /** The number that was ordered before; none where there was no order. */
  ordered?: number
  change?: (demand: Demand, at: number) => Demand | undefined
}

/** Plays demand against endpoints that serve a boot time after their order; gives the orders. */
function replay ({ running, forMs, scaling = SCALING, start = 2, ordered, change = (demand) => demand }: Replay): Order[] {
  const policy = new ScalingPolicy()
  const orders: Order[] = []
  let held = ordered
  let ready = start
  const boots: Order[] = []
  for (let at = 0; at <= forMs; at += LOOK_MS) {
    while (boots[0] !== undefined && boots[0].at <= at) ready = boots.shift()?.desired ?? ready
    const demand = change({
      ready, slots: SLOTS * ready, running: running(at), unreadTokens: 0, tokensPerMs: 30, aimedWaitMs: 250, isWhole: true
    }, at)
    if (demand === undefined) continue
    policy.observe(demand, scaling, at)
    const next = policy.decide(held, scaling, at)
    if (next === undefined) continue
    held = next.desired
    orders.push({ at, desired: held })
    if (held > ready) boots.push({ at: at + scaling.bootMs, desired: held })
    else ready = held
  }
  return orders
}

/** Even scatter between -1 and 1, the same for a seed. */
function scatter (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return 2 * state / 2_147_483_648 - 1
  }
}

const ready = (demand: Demand, count: number): Demand => ({ ...demand, ready: count, slots: SLOTS * count })

describe('the number of endpoints', () => {
  it('stays where demand fits', () => {
    expect(replay({ running: () => 12, forMs: 10 * HOLD_MS })).toEqual([])
  })

  it('goes up at once at a burst, and down only long after it', () => {
    const [from, to] = [20_000, 40_000]
    const orders = replay({ running: (at) => at >= from && at < to ? 70 : 12, forMs: 200_000 })
    const firstUp = orders[0]
    expect(firstUp?.at).toBeGreaterThanOrEqual(from)
    expect(firstUp?.at).toBeLessThanOrEqual(from + 2 * LOOK_MS)
    // It shows whole at once, and its slope is taken for no trend.
    expect(firstUp?.desired).toBe(10)
    expect(Math.max(...orders.map(({ desired }) => desired))).toBe(10)
    const firstDown = orders.find(({ desired }, index) => index > 0 && desired < (orders[index - 1]?.desired ?? 0))
    expect(firstDown?.at).toBeGreaterThanOrEqual(to + HOLD_MS - LOOK_MS)
    expect(orders.at(-1)?.desired).toBe(2)
    // One order a change: none repeats the one before.
    for (const [index, { desired }] of orders.entries()) expect(desired).not.toBe(orders[index - 1]?.desired)
  })

  it('is there a boot time ahead of a slow rise', () => {
    const perMs = 40 / 200_000
    const running = (at: number) => 10 + Math.max(0, at - 30_000) * perMs
    const orders = replay({ running, forMs: 230_000 })
    for (const { at, desired } of orders) {
      const served = running(at + SCALING.bootMs) / SLOTS
      expect(desired).toBeGreaterThanOrEqual(served)
    }
    const isEnoughAt = (at: number) => orders.filter((order) => order.at + SCALING.bootMs <= at).at(-1)?.desired ?? 2
    for (let at = 0; at <= 230_000; at += 1000) expect(SLOTS * isEnoughAt(at)).toBeGreaterThanOrEqual(running(at))
    // Never back and forth.
    expect(orders.map(({ desired }) => desired)).toEqual([...orders.map(({ desired }) => desired)].sort((a, b) => a - b))
  })

  it('does not follow scatter', () => {
    const next = scatter(SEED)
    const orders = replay({ running: () => Math.round(24 + 7 * next()), forMs: 1_800_000, start: 4 })
    // The highest that the scatter reaches in a hold time may be ordered, and left once.
    expect(orders.length).toBeLessThanOrEqual(4)
  })

  it('stays within min and max', () => {
    const scaling = { ...SCALING, min: 2, max: 5 }
    const orders = replay({ running: (at) => at < 60_000 ? 500 : 0, forMs: 300_000, scaling, start: 3 })
    expect(orders.map(({ desired }) => desired)).toEqual([5, 2])
  })

  it('is raised to a new min, and leaves one where min is 0', () => {
    expect(replay({ running: () => 0, forMs: 60_000, scaling: { ...SCALING, min: 4 }, ordered: 2 })[0]?.desired).toBe(4)
    const emptied = replay({ running: () => 0, forMs: 300_000, scaling: { ...SCALING, min: 0 }, ordered: 2 })
    expect(emptied.map(({ desired }) => desired)).toEqual([1])
  })

  it('grows by the wait for prompts that are not read', () => {
    const orders = replay({
      running: () => 5,
      forMs: 30_000,
      change: (demand, at) => at < 20_000 ? demand : { ...demand, unreadTokens: 45_000 }
    })
    // 45,000 tokens at 30 a ms are 1,500 ms, six times what is aimed at.
    expect(Math.max(...orders.map(({ desired }) => desired))).toBeGreaterThanOrEqual(6)
  })

  it('is not lowered while ordered endpoints boot', () => {
    const orders = replay({
      running: () => 1, forMs: 10 * HOLD_MS, ordered: 6, change: (demand, at) => ready(demand, at < 5 * HOLD_MS ? 5 : 6)
    })
    expect(orders).toEqual([{ at: 5 * HOLD_MS, desired: 1 }])
  })

  it('is not lowered on a part of the demand, nor after a pause, before the hold time has passed', () => {
    const partly = replay({ running: () => 1, forMs: 10 * HOLD_MS, ordered: 2, change: (demand) => ({ ...demand, isWhole: false }) })
    expect(partly).toEqual([])
    const frozen = [HOLD_MS - 8000, HOLD_MS]
    const thawed = replay({
      running: () => 1,
      forMs: 3 * HOLD_MS,
      ordered: 2,
      change: (demand, at) => at > (frozen[0] ?? 0) && at < (frozen[1] ?? 0) ? undefined : demand
    })
    expect(thawed).toEqual([{ at: 2 * HOLD_MS, desired: 1 }])
  })

  it('is not decided before all endpoints can be known', () => {
    const orders = replay({ running: () => 80, forMs: 10_000 })
    expect(orders[0]?.at).toBeGreaterThanOrEqual(5000)
  })
})
