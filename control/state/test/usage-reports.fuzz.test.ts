import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { ControlState, type UsageReport } from '@gullwall/control.state'

const SEED = Number(process.env['FUZZ_SEED'] ?? 31)
console.log(`usage reports: FUZZ_SEED=${SEED}`)

const step = fc.oneof(
  fc.record({ type: fc.constant('decide-usage' as const), window: fc.nat(5), begun: fc.nat(9) }),
  fc.record({ type: fc.constant('usage-delivered' as const), window: fc.nat(5) }),
  fc.record({ type: fc.constant('restart' as const) })
)

describe('the report of a window', () => {
  it('has one body for good, through repeats, deliveries and snapshots', () => {
    fc.assert(fc.property(fc.array(step), (steps) => {
      let state = new ControlState()
      const bodies = new Map<number, string>()
      for (const [index, next] of steps.entries()) {
        if (next.type === 'restart') {
          const copy = new ControlState()
          copy.restore(state.snapshot())
          state = copy
          continue
        }
        const command = next.type === 'decide-usage' ? { ...next, counts: [{ organisation: 'a', begun: next.begun }] } : next
        const result = JSON.parse(state.apply(index, JSON.stringify(command))) as UsageReport
        if (next.type !== 'decide-usage') continue
        const body = JSON.stringify(result.counts)
        expect(bodies.get(next.window) ?? body).toBe(body)
        bodies.set(next.window, body)
      }
    }), { seed: SEED })
  })
})
