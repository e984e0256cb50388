import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { GRANT_LEASE_MS } from '../src/grant-duty.ts'
import { coldGrantBound, GrantLedger, GRANT_USE_MS, limitGrantBound, SPAN_MS, spanOf, WINDOW_MS, type GrantBound } from '../src/grant-ledger.ts'
import { BOXES, GrantModel, type ModelOptions, type Step, type Use } from './grant-model.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 20_262)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 100)
const BOUND = 21
/** Clocks run by so much faster or slower at most. */
const DRIFT = 0.02
const CONTROLS = 3
/** A long fuzz takes minutes. */
const LONG_MS = 600_000

const requests = fc.constantFrom(1, 3, 5, 5, 5)
const delay = fc.oneof({ weight: 8, arbitrary: fc.nat(20) }, { weight: 1, arbitrary: fc.nat(1500) })
const isLost = fc.nat(19).map((draw) => draw === 0)
const afterMs = fc.nat(40)
const box = fc.nat(BOXES - 1)
const control = fc.nat(CONTROLS - 1)

const ask = fc.record({
  afterMs, type: fc.constant('ask' as const), box, control, requests, thereMs: delay, backMs: delay, isLost
})
const other: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ afterMs, type: fc.constant('observe' as const), control }) },
  { weight: 1, arbitrary: fc.record({ afterMs, type: fc.constant('restartBox' as const), box }) },
  { weight: 1, arbitrary: fc.record({ afterMs, type: fc.constant('restartControl' as const), control }) }
)
/** Sending as late as it goes and then at once comes nearest to the bound. */
const share = fc.oneof(fc.constant(0), fc.constant(1), fc.constant(1), fc.double({ min: 0, max: 1, noNaN: true }))
const use: fc.Arbitrary<Use> = fc.record({ dispatchShare: share, connectShare: share })
/** For a while all boxes use their grants alike. */
const phase = fc.record({ use, asks: fc.array(ask, { minLength: 20, maxLength: 80, size: 'max' }), last: fc.option(other, { freq: 3 }) })
  .map(({ use, asks, last }): Step[] => [...asks.map((step): Step => ({ ...step, use })), ...(last === null ? [] : [last])])

const rates = fc.array(fc.constantFrom(1 - DRIFT, 1, 1 + DRIFT), { minLength: CONTROLS + BOXES, maxLength: CONTROLS + BOXES })
/** Several terms, each long enough that there are grants in it: a leader begins to grant after about three seconds. */
const term = fc.record({
  control, tellsOld: fc.boolean(), phases: fc.array(phase, { minLength: 4, maxLength: 8, size: 'max' })
})
const plays = fc.array(term, { minLength: 1, maxLength: 4, size: 'max' }).map((terms) => terms.flatMap(({ control, tellsOld, phases }): Step[] => (
  [{ afterMs: 0, type: 'elect', control, tellsOld }, ...phases.flat()]
)))

describe('grants to a cold endpoint', () => {
  it('never let more than the bound be sent within any second', async () => {
    let granted = 0
    let most = 0
    await fc.assert(fc.asyncProperty(plays, rates, async (steps, clocks) => {
      const model = new GrantModel({ bound: coldGrantBound(BOUND), rates: clocks })
      await model.play(steps)
      granted += model.granted
      most = Math.max(most, model.most)
      expect(model.most).toBeLessThanOrEqual(BOUND)
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${granted} granted, at most ${most} of ${BOUND} sent within a second`)
    // A model that comes nowhere near the bound would show nothing.
    expect(most).toBeGreaterThan(BOUND - 3)
  }, LONG_MS)

  it.each([
    ['a leader that does not wait for what the one before has granted', {
      leaseMs: 1, newLedger: (now: number) => new GrantLedger({ opensAt: now, settleMs: 0 })
    }],
    ['a leader that does not have its lease confirmed', { neverConfirms: true }],
    ['a ledger that forgets a grant after the window', {
      newLedger: (now: number) => new GrantLedger({ opensAt: now + 2 * SPAN_MS, spanOf: () => WINDOW_MS })
    }],
    ['a ledger that forgets that grants are used late', {
      newLedger: (now: number) => new GrantLedger({ opensAt: now + 2 * SPAN_MS, spanOf: () => SPAN_MS - GRANT_USE_MS })
    }],
    ['a box that counts the time of a grant from its answer', { countsFromAnswer: true }]
  ])('would exceed it with %s', async (_name, mistake: Partial<ModelOptions>) => {
    const run = await fc.check(fc.asyncProperty(plays, rates, async (steps, clocks) => {
      const model = new GrantModel({ bound: coldGrantBound(BOUND), rates: clocks, ...mistake })
      await model.play(steps)
      return model.most <= BOUND
    }), { seed: SEED, numRuns: Math.max(RUNS, 200), endOnFailure: true })
    expect(run.failed).toBe(true)
  }, LONG_MS)
})

describe('grants to an endpoint that has named a limit', () => {
  const limited = (perSecond: number) => limitGrantBound(perSecond) as GrantBound
  /** As much happens within a window of the bound as within one of a cold endpoint, and requests are there for all that it allows. */
  const stretched = ({ windowMs, requests: most }: GrantBound) => plays.map((steps) => steps.map((step): Step => {
    const afterMs = step.afterMs * windowMs / WINDOW_MS
    return step.type === 'ask' ? { ...step, afterMs, requests: Math.max(step.requests, most) } : { ...step, afterMs }
  }))

  it.each([0, 0.3, 1, 20])('never let more than %d requests a second be sent over any four seconds', async (perSecond) => {
    const bound = limited(perSecond)
    let granted = 0
    let most = 0
    await fc.assert(fc.asyncProperty(stretched(bound), rates, async (steps, clocks) => {
      const model = new GrantModel({ bound, rates: clocks })
      await model.play(steps)
      granted += model.granted
      most = Math.max(most, model.most)
      expect(model.most).toBeLessThanOrEqual(bound.requests)
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${granted} granted, at most ${most} of ${bound.requests} sent within ${Math.round(bound.windowMs)} ms`)
    // A model that comes nowhere near the bound would show nothing.
    expect(most).toBeGreaterThanOrEqual(Math.ceil(0.9 * bound.requests))
  }, LONG_MS)

  it.each([
    ['a leader that does not wait for what the one before has granted', { leaseMs: 1, newLedger: (now: number) => new GrantLedger({ opensAt: now - spanOf(limited(1)), settleMs: 0 }) }],
    ['a leader that does not have its lease confirmed', { neverConfirms: true }],
    ['a ledger that forgets that grants are used late', {
      newLedger: (now: number) => new GrantLedger({ opensAt: now + GRANT_LEASE_MS + SPAN_MS, spanOf: ({ windowMs }) => windowMs })
    }],
    ['a box that counts the time of a grant from its answer', { countsFromAnswer: true }]
  ])('would let more with %s', async (_name, mistake: Partial<ModelOptions>) => {
    const bound = limited(1)
    const run = await fc.check(fc.asyncProperty(stretched(bound), rates, async (steps, clocks) => {
      const model = new GrantModel({ bound, rates: clocks, ...mistake })
      await model.play(steps)
      return model.most <= bound.requests
    }), { seed: SEED, numRuns: Math.max(RUNS, 200), endOnFailure: true })
    expect(run.failed).toBe(true)
  }, LONG_MS)
})
