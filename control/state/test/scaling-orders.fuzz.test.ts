import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { ControlState, type ScalingOrder, type ScalingResult } from '@gullwall/control.state'

const SEED = Number(process.env['FUZZ_SEED'] ?? 47)
console.log(`scaling orders: FUZZ_SEED=${SEED}`)

const step = fc.oneof(
  fc.record({
    type: fc.constant('decide' as const),
    service: fc.constantFrom('lm', 'api'),
    dataCentre: fc.constantFrom('dc1', 'dc2'),
    desired: fc.nat(9),
    /** How many orders the sender has missed. */
    missed: fc.nat(2)
  }),
  fc.record({ type: fc.constant('repeat' as const) }),
  fc.record({ type: fc.constant('restart' as const) })
)

function apply (state: ControlState, command: object): ScalingResult {
  return JSON.parse(state.apply(0, JSON.stringify(command))) as ScalingResult
}

describe('orders of endpoints in the log', () => {
  it('change only by one who knows the last, through repeats and restores', () => {
    fc.assert(fc.property(fc.array(step), (steps) => {
      let state = new ControlState()
      const model = new Map<string, ScalingOrder>()
      let last: object | undefined
      for (const next of steps) {
        if (next.type === 'restart') {
          const copy = new ControlState()
          copy.restore(state.snapshot())
          state = copy
        } else if (next.type === 'repeat') {
          // The first one raised the number, so that its repeat is late; one that was not taken stays late.
          if (last !== undefined) expect(apply(state, last).isTaken).toBe(false)
        } else {
          const { service, dataCentre, desired, missed } = next
          const key = `${service} ${dataCentre}`
          const held = model.get(key)
          const number = held?.number ?? 0
          const isLate = held !== undefined && missed > 0
          last = { type: 'decide-scaling', service, dataCentre, desired, seen: number - missed }
          const result = apply(state, last)
          expect(result.isTaken).toBe(!isLate)
          if (!isLate) model.set(key, { service, dataCentre, desired, number: number + 1 })
          expect(result.order).toEqual(model.get(key))
        }
        for (const order of model.values()) expect(state.scalingOrders.of(order.service, order.dataCentre)).toEqual(order)
      }
    }), { seed: SEED })
  })

  it('are empty after a snapshot from before there were any', () => {
    const state = new ControlState()
    apply(state, { type: 'decide-scaling', service: 'lm', dataCentre: 'dc1', desired: 3, seen: 0 })
    const { scalingOrders, ...older } = JSON.parse(state.snapshot()) as { scalingOrders: unknown }
    expect(scalingOrders).toHaveLength(1)
    state.restore(JSON.stringify(older))
    expect(state.scalingOrders.of('lm', 'dc1')).toBeUndefined()
  })
})
