import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { ScalingSimulation } from './scaling-simulation.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 53)
console.log(`orders of endpoints: FUZZ_SEED=${SEED}`)

/** A call without an answer is carried out within this time or not at all, in ms. */
const LATE_MS = 20_000
/** After so long without faults all calls are carried out or lost, and the last order was sent again, in ms. */
const QUIET_MS = 40_000

const step = fc.oneof(
  fc.record({ type: fc.constant('run' as const), forMs: fc.integer({ min: 500, max: 15_000 }) }),
  fc.record({ type: fc.constant('demand' as const), running: fc.nat(100) }),
  fc.record({ type: fc.constant('holder' as const), name: fc.constantFrom('a', 'b', undefined) }),
  fc.record({ type: fc.constant('restart' as const), name: fc.constantFrom('a', 'b') }),
  fc.record({ type: fc.constant('answers' as const), how: fc.constantFrom('delivered' as const, 'failed' as const, 'late' as const) }),
  fc.record({ type: fc.constant('carry out' as const), which: fc.nat() })
)

describe('orders of endpoints, through changes of holder, lost answers and late calls', () => {
  it('come to what the log says, and no holder sends after a later one', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async (steps) => {
      const world = new ScalingSimulation()
      let term = 1
      await world.run(10_000)
      for (const next of steps) {
        switch (next.type) {
          case 'run': await world.run(next.forMs); break
          case 'demand': world.running = next.running; break
          case 'restart': world.restart(next.name); break
          case 'holder':
            term += 1
            world.leader = next.name === undefined ? undefined : { name: next.name, term }
            break
          case 'answers':
            world.sink.answer = () => ({
              delivered: { type: 'delivered' } as const, failed: { type: 'failed', reason: '503' } as const, late: 'carried out late' as const
            })[next.how]
            break
          case 'carry out': {
            const [late] = world.sink.lateCalls.splice(next.which % Math.max(1, world.sink.lateCalls.length), 1)
            if (late !== undefined && world.now - late.at < LATE_MS) world.sink.carryOut(late)
          }
        }
      }
      world.leader ??= { name: 'a', term: term + 1 }
      world.sink.answer = () => ({ type: 'delivered' })
      world.running = 30
      await world.run(2000)
      for (const late of world.sink.lateCalls.splice(0)) if (world.now - late.at < LATE_MS) world.sink.carryOut(late)
      await world.run(QUIET_MS)
      expect(world.sink.desiredCounts.get('lm dc1')).toBe(world.state.scalingOrders.of('lm', 'dc1')?.desired)
      const tokens = world.sink.sent.map(({ token }) => token)
      expect(tokens).toEqual([...tokens].sort((left, right) => left - right))
      for (const { desired } of world.sink.sent) expect(desired >= 1 && desired <= 12).toBe(true)
    }), { seed: SEED, numRuns: 200 })
  })
})
