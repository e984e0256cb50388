import { describe, expect, it } from 'vitest'
import { type FencedOrder } from '@gullwall/control.program'
import { LEASE_MS, ScalingSimulation } from './scaling-simulation.ts'

const HOLD_MS = 60_000
const LATE_MS = 20_000

const settled = async (world: ScalingSimulation): Promise<void> => await world.run(10_000)

describe('orders of endpoints', () => {
  it('are one a change, decided before they are sent, and logged with their inputs', async () => {
    const world = new ScalingSimulation()
    await settled(world)
    expect(world.sink.sent).toEqual([])
    world.running = 30
    await world.run(60_000)
    const numbers = world.sink.sent.map(({ desired }) => desired)
    expect(new Set(numbers).size).toBe(numbers.length)
    expect(numbers.length).toBeLessThanOrEqual(2)
    expect(world.state.scalingOrders.of('lm', 'dc1')?.desired).toBe(numbers.at(-1))
    expect(world.lines.find((line) => line.includes('"event":"decided"'))).toMatch(/running on \d+ slots .* load .* seen 0 ms ago/)
  })

  it('go on with the same body and a higher token after a change of holder, and none of the old one follows', async () => {
    const world = new ScalingSimulation()
    await settled(world)
    world.running = 30
    world.sink.answer = () => 'carried out late'
    await world.run(4000)
    const [first] = world.sink.sent
    expect(first?.holder).toBe('a')
    world.leader = { name: 'b', term: 2 }
    const changedAt = world.now
    await world.run(3000)
    world.sink.answer = () => ({ type: 'delivered' })
    await world.run(10_000)
    const later = world.sink.sent.filter(({ at }) => at >= changedAt)
    expect(later.every(({ holder, token, at }) => holder === 'b' && token === 2 && at >= changedAt + LEASE_MS)).toBe(true)
    expect(later[0]?.desired).toBe(world.sink.sent.filter(({ token }) => token === 1).at(-1)?.desired)
    const desired = world.state.scalingOrders.of('lm', 'dc1')?.desired
    for (const order of world.sink.lateCalls.filter(({ token }) => token === 1)) expect(world.sink.carryOut(order)).toEqual({ type: 'fenced' })
    expect(world.sink.desiredCounts.get('lm dc1')).toBe(desired)
  })

  it('are sent once more by a new holder though they were answered, since a late call of the old one may be under way', async () => {
    const world = new ScalingSimulation()
    await settled(world)
    world.running = 30
    await world.run(10_000)
    const last = world.sink.sent.at(-1)
    world.leader = { name: 'b', term: 2 }
    await world.run(10_000)
    expect(world.sink.bodies.filter(([token]) => token === 2)).toEqual([[2, last?.desired]])
  })

  it('are not lowered by a new holder that has seen no hold time', async () => {
    const world = new ScalingSimulation()
    await settled(world)
    world.running = 60
    await world.run(10_000)
    const high = world.state.scalingOrders.of('lm', 'dc1')?.desired
    world.running = 5
    await world.run(HOLD_MS - 5000)
    world.restart('b')
    world.leader = { name: 'b', term: 2 }
    await world.run(HOLD_MS - 1000)
    expect(world.state.scalingOrders.of('lm', 'dc1')?.desired).toBe(high)
    await world.run(2000)
    expect(world.state.scalingOrders.of('lm', 'dc1')?.desired).toBe(1)
  })

  it('end for a term whose token was refused', async () => {
    const world = new ScalingSimulation()
    await settled(world)
    world.sink.answer = () => ({ type: 'fenced' })
    world.running = 30
    await world.run(60_000)
    expect(world.sink.sent).toHaveLength(1)
    world.sink.answer = () => ({ type: 'delivered' })
    world.leader = { name: 'a', term: 3 }
    await world.run(10_000)
    expect(world.sink.bodies.at(-1)).toEqual([3, world.state.scalingOrders.of('lm', 'dc1')?.desired])
  })

  it('that fail are sent again with the same body, ever more seldom', async () => {
    const world = new ScalingSimulation()
    await settled(world)
    world.sink.answer = () => ({ type: 'failed', reason: 'answered 503' })
    world.running = 13 * 1.5
    await world.run(60_000)
    const tries = world.sink.sent
    expect(tries.length).toBeGreaterThan(5)
    expect(tries.length).toBeLessThan(60_000 / 2500 + 6)
    expect(new Set(tries.map(({ desired }) => desired)).size).toBe(1)
  })

  it('are sent once more after an older one of the same token may have been carried out late', async () => {
    const world = new ScalingSimulation()
    await settled(world)
    world.sink.answer = () => 'carried out late'
    world.running = 25
    await world.run(2000)
    const older = world.sink.lateCalls[0] as FencedOrder
    world.sink.answer = () => ({ type: 'delivered' })
    world.running = 70
    await world.run(6000)
    const newer = world.state.scalingOrders.of('lm', 'dc1')?.desired
    expect(newer).toBeGreaterThan(older.desired)
    world.sink.carryOut(older)
    expect(world.sink.desiredCounts.get('lm dc1')).toBe(older.desired)
    await world.run(LATE_MS)
    expect(world.sink.desiredCounts.get('lm dc1')).toBe(newer)
    const same = () => world.sink.sent.filter(({ desired }) => desired === newer).length
    const calls = same()
    await world.run(60_000)
    expect(same()).toBe(calls)
  })

  it('leave half of the rate of calls to others', async () => {
    const world = new ScalingSimulation(['dc1', 'dc2', 'dc3', 'dc4', 'dc5', 'dc6'], 2)
    await settled(world)
    world.running = 30
    await world.run(30_000)
    expect(world.sink.desiredCounts.size).toBe(6)
    const times = world.sink.sent.map(({ at }) => at)
    for (const at of times) expect(times.filter((other) => other >= at && other < at + 1000).length).toBeLessThanOrEqual(2)
  })
})
