import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { ScalingSimulation } from './scaling-simulation.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 53)
console.log(`orders of endpoints: FUZZ_SEED=${SEED}`)

/** A call without a response is executed within this time or not at all, in ms. */
const LATE_MS = 20_000
/** Time without faults after which all calls are executed or lost and the last order was sent again, in ms. */
const QUIET_MS = 40_000

const step = fc.oneof(
  fc.record({ type: fc.constant('run' as const), forMs: fc.integer({ min: 500, max: 15_000 }) }),
  fc.record({ type: fc.constant('demand' as const), running: fc.nat(100) }),
  fc.record({ type: fc.constant('holder' as const), name: fc.constantFrom('a', 'b', undefined) }),
  fc.record({ type: fc.constant('restart' as const), name: fc.constantFrom('a', 'b') }),
  fc.record({ type: fc.constant('answers' as const), how: fc.constantFrom('delivered' as const, 'failed' as const, 'late' as const) }),
  fc.record({ type: fc.constant('carry out' as const), which: fc.nat() })
)

describe('orders of endpoints with changes of leader, lost responses and late calls', () => {
  it('converge to the decided order, and tokens never decrease', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async (steps) => {
      const simulation = new ScalingSimulation()
      let term = 1
      await simulation.run(10_000)
      for (const next of steps) {
        switch (next.type) {
          case 'run': await simulation.run(next.forMs); break
          case 'demand': simulation.running = next.running; break
          case 'restart': simulation.restart(next.name); break
          case 'holder':
            term += 1
            simulation.leader = next.name === undefined ? undefined : { name: next.name, term }
            break
          case 'answers':
            simulation.sink.answer = () => ({
              delivered: { type: 'delivered' } as const, failed: { type: 'failed', reason: '503' } as const, late: 'carried out late' as const
            })[next.how]
            break
          case 'carry out': {
            const [late] = simulation.sink.lateCalls.splice(next.which % Math.max(1, simulation.sink.lateCalls.length), 1)
            if (late !== undefined && simulation.now - late.at < LATE_MS) simulation.sink.carryOut(late)
          }
        }
      }
      simulation.leader ??= { name: 'a', term: term + 1 }
      simulation.sink.answer = () => ({ type: 'delivered' })
      simulation.running = 30
      await simulation.run(2000)
      for (const late of simulation.sink.lateCalls.splice(0)) if (simulation.now - late.at < LATE_MS) simulation.sink.carryOut(late)
      await simulation.run(QUIET_MS)
      expect(simulation.sink.desiredCounts.get('lm dc1')).toBe(simulation.state.scalingOrders.of('lm', 'dc1')?.desired)
      const tokens = simulation.sink.sent.map(({ token }) => token)
      expect(tokens).toEqual([...tokens].sort((left, right) => left - right))
      for (const { desired } of simulation.sink.sent) expect(desired >= 1 && desired <= 12).toBe(true)
    }), { seed: SEED, numRuns: 200 })
  })
})
