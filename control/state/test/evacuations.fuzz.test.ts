/** Orders to evacuate data centres in any order, repeated and late, against what came before them when they were given. */
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { ControlState, evacuatedIn, evacuationOf, type EvacuateCommand, type EvacuationResult } from '@gullwall/control.state'

const SEED = Number(process.env['FUZZ_SEED'] ?? 47)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 500)
console.log(`evacuations: FUZZ_SEED=${SEED}`)

const DATA_CENTRES = ['dc1', 'dc2'] as const

type Step =
  /** An operator gives an order to a process that has not applied the newest `lag` epochs. */
  | { do: 'give', dataCentre: string, isEvacuated: boolean, lag: number }
  /** An order that was given reaches the log, perhaps not for the first time. */
  | { do: 'carry out', which: number }
  | { do: 'restart' }

interface Order {
  command: EvacuateCommand
  /** How many orders of its data centre had been taken when it was given. */
  takenBefore: number
  lag: number
}

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('give' as const), dataCentre: fc.constantFrom(...DATA_CENTRES), isEvacuated: fc.boolean(), lag: fc.constantFrom(0, 0, 0, 1, 2)
    })
  },
  { weight: 8, arbitrary: fc.record({ do: fc.constant('carry out' as const), which: fc.nat(11) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('restart' as const) }) }
)

/** Applies commands to a state that is replaced by its snapshot now and then, and to one that never is. */
class Pair {
  state = new ControlState()
  private readonly whole = new ControlState()

  apply (command: EvacuateCommand): EvacuationResult {
    const text = JSON.stringify(command)
    const result = this.state.apply(0, text)
    expect(this.whole.apply(0, text)).toBe(result)
    return JSON.parse(result) as EvacuationResult
  }

  restart (): void {
    const copy = new ControlState()
    copy.restore(this.state.snapshot())
    this.state = copy
  }

  expectSame (): void {
    expect(this.state.snapshot()).toBe(this.whole.snapshot())
  }
}

/** @param toldOf what an order tells of what it saw */
function run (steps: readonly Step[], toldOf: (order: Order) => number): void {
  const pair = new Pair()
  const orders: Order[] = []
  const taken = new Map<string, number>()
  for (const next of steps) {
    if (next.do === 'restart') {
      pair.restart()
    } else if (next.do === 'give') {
      const { dataCentre, isEvacuated, lag } = next
      const { epoch } = evacuationOf(pair.state.records, dataCentre)
      const command: EvacuateCommand = { type: 'evacuate', dataCentre, isEvacuated, seen: Math.max(0, epoch - lag) }
      orders.push({ command, takenBefore: taken.get(dataCentre) ?? 0, lag })
    } else {
      const order = orders[next.which % Math.max(1, orders.length)]
      if (order !== undefined) carryOut(pair, order, taken, toldOf(order))
    }
  }
  pair.expectSame()
}

function carryOut (pair: Pair, { command, takenBefore, lag }: Order, taken: Map<string, number>, seen: number): void {
  const { dataCentre, isEvacuated } = command
  const before = evacuationOf(pair.state.records, dataCentre)
  const others = evacuatedIn(pair.state.records).filter((other) => other !== dataCentre)
  const { revision } = pair.state
  const result = pair.apply({ ...command, seen })
  const after = evacuationOf(pair.state.records, dataCentre)
  const count = taken.get(dataCentre) ?? 0
  const isOvertaken = count > takenBefore && before.isEvacuated !== isEvacuated
  if (isOvertaken) expect(result.isTaken).toBe(false)
  else if (lag === 0) expect(result.isTaken).toBe(true)
  if (result.isTaken) taken.set(dataCentre, count + 1)
  const change = result.isTaken ? 1 : 0
  expect(after.epoch).toBe(before.epoch + change)
  expect(pair.state.revision).toBe(revision + change)
  expect(after.isEvacuated).toBe(result.isTaken ? isEvacuated : before.isEvacuated)
  const isWithdrawn = result.isTaken && before.isEvacuated && !isEvacuated
  expect(after.withdrawals).toBe(before.withdrawals + (isWithdrawn ? 1 : 0))
  expect({ isEvacuated: result.isEvacuated, epoch: result.epoch, withdrawals: result.withdrawals }).toEqual(after)
  expect(evacuatedIn(pair.state.records).filter((other) => other !== dataCentre)).toEqual(others)
}

const scripts = fc.array(step, { maxLength: 60 })

describe('orders to evacuate a data centre', () => {
  it('are taken when they are the newest, change nothing when overtaken, and are the same through snapshots', () => {
    fc.assert(fc.property(scripts, (steps) => run(steps, ({ command }) => command.seen)), { seed: SEED, numRuns: RUNS })
  })

  it('the oracle sees a late order that revives what was withdrawn', () => {
    const property = fc.property(scripts, (steps) => run(steps, () => Number.MAX_SAFE_INTEGER))
    expect(fc.check(property, { seed: SEED, numRuns: RUNS }).failed).toBe(true)
  })

  it('are taken once given again with the epoch that overtook them', () => {
    const pair = new Pair()
    const order = (isEvacuated: boolean, seen: number) => pair.apply({ type: 'evacuate', dataCentre: 'dc1', isEvacuated, seen })
    expect(order(true, 0)).toEqual({ isTaken: true, isEvacuated: true, epoch: 1, withdrawals: 0 })
    expect(order(false, 0)).toEqual({ isTaken: false, isEvacuated: true, epoch: 1, withdrawals: 0 })
    expect(order(false, 1)).toEqual({ isTaken: true, isEvacuated: false, epoch: 2, withdrawals: 1 })
  })

  it('that repeat what holds keep a late order of the other kind from undoing it', () => {
    const pair = new Pair()
    const order = (isEvacuated: boolean, seen: number) => pair.apply({ type: 'evacuate', dataCentre: 'dc1', isEvacuated, seen })
    order(true, 0)
    const lateWithdrawal = 1
    expect(order(true, 1).epoch).toBe(2)
    expect(order(false, lateWithdrawal)).toMatchObject({ isTaken: false, isEvacuated: true })
  })
})
