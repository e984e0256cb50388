import { describe, expect, it, vi } from 'vitest'
import fc from 'fast-check'
import { ControlState, type ApplyCommand, type ApplyResult, type ClaimResult } from '@gullwall/control.state'

const SEED = Number(process.env['FUZZ_SEED'] ?? 20261202)

function applyCommand (operationId: string, expectedRevision: number | null, changes: ApplyCommand['changes']): string {
  return JSON.stringify({ type: 'apply', operationId, expectedRevision, changes, operator: 'test', at: '' })
}

type Step =
  | { do: 'apply', id: number, behind: number | null, name: string, tier: number | null }
  | { do: 'snapshot' }

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant('apply' as const),
      id: fc.nat(15),
      behind: fc.option(fc.nat(2)),
      name: fc.constantFrom('a', 'b', 'c'),
      tier: fc.option(fc.nat(3))
    })
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('snapshot' as const) }) }
)

/** Runs the steps against a plain map of accepted changes. */
function run (steps: readonly Step[]): void {
  let state = new ControlState()
  const accepted = new Map<string, string>()
  const answers = new Map<string, ApplyResult>()
  let revision = 0
  for (const next of steps) {
    if (next.do === 'snapshot') {
      const copy = new ControlState()
      copy.restore(state.snapshot())
      state = copy
      continue
    }
    const operationId = `op-${next.id}`
    const key = `class/${next.name}`
    const value = next.tier === null ? null : JSON.stringify({ tier: next.tier })
    const expected = next.behind === null ? null : revision - next.behind
    const result = JSON.parse(state.apply(0, applyCommand(operationId, expected, [{ key, value }]))) as ApplyResult
    const before = answers.get(operationId)
    if (before !== undefined) {
      expect(result).toEqual(before)
    } else {
      answers.set(operationId, result)
      expect(result.type).toBe(expected === null || expected === revision ? 'accepted' : 'conflict')
      if (result.type === 'accepted') {
        revision += 1
        if (value === null) accepted.delete(key)
        else accepted.set(key, value)
      }
    }
    expect(state.revision).toBe(revision)
    expect(new Map(state.records.entries())).toEqual(accepted)
  }
}

const property = fc.property(fc.array(step, { maxLength: 40 }), run)

describe('the replicated state', () => {
  it('answers each operation once, takes no stale change, and survives snapshots', () => {
    console.log(`seed ${SEED}`)
    fc.assert(property, { numRuns: 300, seed: SEED })
  })

  it('the oracle sees an operation that a snapshot forgets', () => {
    const original = ControlState.prototype.snapshot
    vi.spyOn(ControlState.prototype, 'snapshot').mockImplementation(function (this: ControlState) {
      return JSON.stringify({ ...JSON.parse(original.call(this)) as object, operations: [] })
    })
    expect(fc.check(property, { numRuns: 300, seed: SEED }).failed).toBe(true)
    vi.restoreAllMocks()
  })

  it('names the winner of a race and the difference', () => {
    const state = new ControlState()
    state.apply(1, applyCommand('first', 0, [{ key: 'selector/x', value: '{"match":"a=b"}' }]))
    const late = JSON.parse(state.apply(2, applyCommand('second', 0, [{ key: 'selector/x', value: '{"match":"c=d"}' }]))) as ApplyResult
    expect(late).toMatchObject({ type: 'conflict', revision: 1, operationId: 'first', difference: [{ key: 'selector/x', after: '{"match":"a=b"}' }] })
  })

  it('refuses references to records that do not exist, and deletions of those referred to', () => {
    const state = new ControlState()
    const organisation = { key: 'organisation/o', value: '{"classes":["c"]}' }
    expect(JSON.parse(state.apply(1, applyCommand('1', null, [organisation])))).toMatchObject({ type: 'invalid' })
    expect(JSON.parse(state.apply(2, applyCommand('2', null, [organisation, { key: 'class/c', value: '{}' }])))).toMatchObject({ type: 'accepted' })
    expect(JSON.parse(state.apply(3, applyCommand('3', null, [{ key: 'class/c', value: null }])))).toMatchObject({ type: 'invalid' })
  })

  it('grants a claim to one request, until it is settled as not run or expires', () => {
    const state = new ControlState()
    const claim = (requestId: string, now: number) => JSON.parse(state.apply(0, JSON.stringify({
      type: 'claim', key: 'k', requestId, holdMs: 100, now
    }))) as ClaimResult
    const settle = (requestId: string, outcome: string) => state.apply(0, JSON.stringify({ type: 'settle', key: 'k', requestId, outcome }))
    expect(claim('r1', 0).granted).toBe(true)
    expect(claim('r2', 1)).toEqual({ granted: false, holder: 'r1', outcome: 'unknown' })
    settle('r1', 'no')
    expect(claim('r2', 2).granted).toBe(true)
    settle('r2', 'yes')
    expect(claim('r3', 50)).toEqual({ granted: false, holder: 'r2', outcome: 'yes' })
    expect(claim('r3', 200).granted).toBe(true)
  })

  it('keeps the first decision on the usage of a window, through a snapshot too', () => {
    const state = new ControlState()
    const decide = (begun: number) => JSON.parse(state.apply(1, JSON.stringify({ type: 'decide-usage', window: 7, counts: [{ organisation: 'a', begun }] })))
    expect(decide(5)).toEqual({ window: 7, counts: [{ organisation: 'a', begun: 5 }], isDelivered: false })
    state.apply(2, JSON.stringify({ type: 'usage-delivered', window: 7 }))
    expect(decide(9)).toEqual({ window: 7, counts: [{ organisation: 'a', begun: 5 }], isDelivered: true })
    const copy = new ControlState()
    copy.restore(state.snapshot())
    expect(copy.usageReports.of(7)).toEqual(state.usageReports.of(7))
  })
})
