import { describe, expect, it } from 'vitest'
import { type FencedOrder } from '@gullwall/control.program'
import { LEASE_MS, ScalingSimulation } from './scaling-simulation.ts'

const STABILISATION_MS = 60_000
const LATE_MS = 20_000

const settle = async (simulation: ScalingSimulation): Promise<void> => await simulation.run(10_000)

describe('ScalingController', () => {
  it('sends one order per change, decides it before sending, and logs its inputs', async () => {
    const simulation = new ScalingSimulation()
    await settle(simulation)
    expect(simulation.sink.sent).toEqual([])
    simulation.running = 30
    await simulation.run(60_000)
    const numbers = simulation.sink.sent.map(({ desired }) => desired)
    expect(new Set(numbers).size).toBe(numbers.length)
    expect(numbers.length).toBeLessThanOrEqual(2)
    expect(simulation.state.scalingOrders.of('lm', 'dc1')?.desired).toBe(numbers.at(-1))
    expect(simulation.lines.find((line) => line.includes('"event":"decided"'))).toMatch(/running on \d+ slots .* load .* sampled 0 ms ago/)
  })

  it('continues with the same order and a higher token after a change of leader, without later calls of the previous leader', async () => {
    const simulation = new ScalingSimulation()
    await settle(simulation)
    simulation.running = 30
    simulation.sink.answer = () => 'carried out late'
    await simulation.run(4000)
    const [first] = simulation.sink.sent
    expect(first?.holder).toBe('a')
    simulation.leader = { name: 'b', term: 2 }
    const changedAt = simulation.now
    await simulation.run(3000)
    simulation.sink.answer = () => ({ type: 'delivered' })
    await simulation.run(10_000)
    const later = simulation.sink.sent.filter(({ at }) => at >= changedAt)
    expect(later.every(({ holder, token, at }) => holder === 'b' && token === 2 && at >= changedAt + LEASE_MS)).toBe(true)
    expect(later[0]?.desired).toBe(simulation.sink.sent.filter(({ token }) => token === 1).at(-1)?.desired)
    const desired = simulation.state.scalingOrders.of('lm', 'dc1')?.desired
    for (const order of simulation.sink.lateCalls.filter(({ token }) => token === 1)) expect(simulation.sink.carryOut(order)).toEqual({ type: 'fenced' })
    expect(simulation.sink.desiredCounts.get('lm dc1')).toBe(desired)
  })

  it('resends a delivered order after a change of leader, since a late call of the previous leader may be pending', async () => {
    const simulation = new ScalingSimulation()
    await settle(simulation)
    simulation.running = 30
    await simulation.run(10_000)
    const last = simulation.sink.sent.at(-1)
    simulation.leader = { name: 'b', term: 2 }
    await simulation.run(10_000)
    expect(simulation.sink.bodies.filter(([token]) => token === 2)).toEqual([[2, last?.desired]])
  })

  it('does not lower an order on a new leader that has not observed the demand for the stabilisation time', async () => {
    const simulation = new ScalingSimulation()
    await settle(simulation)
    simulation.running = 60
    await simulation.run(10_000)
    const high = simulation.state.scalingOrders.of('lm', 'dc1')?.desired
    simulation.running = 5
    await simulation.run(STABILISATION_MS - 5000)
    simulation.restart('b')
    simulation.leader = { name: 'b', term: 2 }
    await simulation.run(STABILISATION_MS - 1000)
    expect(simulation.state.scalingOrders.of('lm', 'dc1')?.desired).toBe(high)
    await simulation.run(2000)
    expect(simulation.state.scalingOrders.of('lm', 'dc1')?.desired).toBe(1)
  })

  it('sends no more orders in a term whose token was refused', async () => {
    const simulation = new ScalingSimulation()
    await settle(simulation)
    simulation.sink.answer = () => ({ type: 'fenced' })
    simulation.running = 30
    await simulation.run(60_000)
    expect(simulation.sink.sent).toHaveLength(1)
    simulation.sink.answer = () => ({ type: 'delivered' })
    simulation.leader = { name: 'a', term: 3 }
    await simulation.run(10_000)
    expect(simulation.sink.bodies.at(-1)).toEqual([3, simulation.state.scalingOrders.of('lm', 'dc1')?.desired])
  })

  it('resends a failed order unchanged, at growing intervals', async () => {
    const simulation = new ScalingSimulation()
    await settle(simulation)
    simulation.sink.answer = () => ({ type: 'failed', reason: 'answered 503' })
    simulation.running = 13 * 1.5
    await simulation.run(60_000)
    const calls = simulation.sink.sent
    expect(calls.length).toBeGreaterThan(5)
    expect(calls.length).toBeLessThan(60_000 / 2500 + 6)
    expect(new Set(calls.map(({ desired }) => desired)).size).toBe(1)
  })

  it('resends an order after an older call with the same token may have been executed late', async () => {
    const simulation = new ScalingSimulation()
    await settle(simulation)
    simulation.sink.answer = () => 'carried out late'
    simulation.running = 25
    await simulation.run(2000)
    const older = simulation.sink.lateCalls[0] as FencedOrder
    simulation.sink.answer = () => ({ type: 'delivered' })
    simulation.running = 70
    await simulation.run(6000)
    const newer = simulation.state.scalingOrders.of('lm', 'dc1')?.desired
    expect(newer).toBeGreaterThan(older.desired)
    simulation.sink.carryOut(older)
    expect(simulation.sink.desiredCounts.get('lm dc1')).toBe(older.desired)
    await simulation.run(LATE_MS)
    expect(simulation.sink.desiredCounts.get('lm dc1')).toBe(newer)
    const same = () => simulation.sink.sent.filter(({ desired }) => desired === newer).length
    const calls = same()
    await simulation.run(60_000)
    expect(same()).toBe(calls)
  })

  it('uses at most half of the allowed call rate', async () => {
    const simulation = new ScalingSimulation(['dc1', 'dc2', 'dc3', 'dc4', 'dc5', 'dc6'], 2)
    await settle(simulation)
    simulation.running = 30
    await simulation.run(30_000)
    expect(simulation.sink.desiredCounts.size).toBe(6)
    const times = simulation.sink.sent.map(({ at }) => at)
    for (const at of times) expect(times.filter((other) => other >= at && other < at + 1000).length).toBeLessThanOrEqual(2)
  })
})
