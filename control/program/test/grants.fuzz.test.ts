import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { GRANT_LEASE_MS } from '../src/leased-grant-ledger.ts'
import { createColdGrantBound, GrantLedger, COLD_GRANT_VALID_MS, createLimitGrantBound, COLD_ACCOUNTING_WINDOW_MS, computeAccountingWindowMs, COLD_WINDOW_MS, type GrantBound } from '../src/grant-ledger.ts'
import { BOXES, GrantSimulation, type SimulationOptions, type Step, type GrantUse } from './grant-simulation.ts'

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
const use: fc.Arbitrary<GrantUse> = fc.record({ dispatchShare: share, connectShare: share })
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
      const model = new GrantSimulation({ bound: createColdGrantBound(BOUND), rates: clocks })
      await model.run(steps)
      granted += model.granted
      most = Math.max(most, model.maxSentInWindow)
      expect(model.maxSentInWindow).toBeLessThanOrEqual(BOUND)
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${granted} granted, at most ${most} of ${BOUND} sent within a second`)
    // A model that comes nowhere near the bound would show nothing.
    expect(most).toBeGreaterThan(BOUND - 3)
  }, LONG_MS)

  it.each([
    ['a leader that does not wait for what the one before has granted', {
      leaseMs: 1, newLedger: (now: number) => new GrantLedger({ startsAt: now, initialDelayMs: 0 })
    }],
    ['a leader that does not have its lease confirmed', { neverConfirms: true }],
    ['a ledger that forgets a grant after the window', {
      newLedger: (now: number) => new GrantLedger({
        startsAt: now + 2 * COLD_ACCOUNTING_WINDOW_MS,
        computeAccountingWindowMs: () => COLD_WINDOW_MS
      })
    }],
    ['a ledger that forgets that grants are used late', {
      newLedger: (now: number) => new GrantLedger({
        startsAt: now + 2 * COLD_ACCOUNTING_WINDOW_MS,
        computeAccountingWindowMs: () => COLD_ACCOUNTING_WINDOW_MS - COLD_GRANT_VALID_MS
      })
    }],
    ['a box that counts the time of a grant from its answer', { countsFromAnswer: true }]
  ])('would exceed it with %s', async (_name, mistake: Partial<SimulationOptions>) => {
    const run = await fc.check(fc.asyncProperty(plays, rates, async (steps, clocks) => {
      const model = new GrantSimulation({ bound: createColdGrantBound(BOUND), rates: clocks, ...mistake })
      await model.run(steps)
      return model.maxSentInWindow <= BOUND
    }), { seed: SEED, numRuns: Math.max(RUNS, 200), endOnFailure: true })
    expect(run.failed).toBe(true)
  }, LONG_MS)
})

describe('grants to an endpoint that has named a limit', () => {
  const limited = (perSecond: number) => createLimitGrantBound(perSecond) as GrantBound
  /** As much happens within a window of the bound as within one of a cold endpoint, and requests are there for all that it allows. */
  const stretched = ({ windowMs, requests: most }: GrantBound) => plays.map((steps) => steps.map((step): Step => {
    const afterMs = step.afterMs * windowMs / COLD_WINDOW_MS
    return step.type === 'ask' ? { ...step, afterMs, requests: Math.max(step.requests, most) } : { ...step, afterMs }
  }))

  it.each([0, 0.3, 1, 20])('never let more than %d requests a second be sent over any four seconds', async (perSecond) => {
    const bound = limited(perSecond)
    let granted = 0
    let most = 0
    await fc.assert(fc.asyncProperty(stretched(bound), rates, async (steps, clocks) => {
      const model = new GrantSimulation({ bound, rates: clocks })
      await model.run(steps)
      granted += model.granted
      most = Math.max(most, model.maxSentInWindow)
      expect(model.maxSentInWindow).toBeLessThanOrEqual(bound.requests)
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${granted} granted, at most ${most} of ${bound.requests} sent within ${Math.round(bound.windowMs)} ms`)
    // A model that comes nowhere near the bound would show nothing.
    expect(most).toBeGreaterThanOrEqual(Math.ceil(0.9 * bound.requests))
  }, LONG_MS)

  it.each([
    ['a leader that does not wait for what the one before has granted', { leaseMs: 1, newLedger: (now: number) => new GrantLedger({ startsAt: now - computeAccountingWindowMs(limited(1)), initialDelayMs: 0 }) }],
    ['a leader that does not have its lease confirmed', { neverConfirms: true }],
    ['a ledger that forgets that grants are used late', {
      newLedger: (now: number) => new GrantLedger({
        startsAt: now + GRANT_LEASE_MS + COLD_ACCOUNTING_WINDOW_MS,
        computeAccountingWindowMs: ({ windowMs }) => windowMs
      })
    }],
    ['a box that counts the time of a grant from its answer', { countsFromAnswer: true }]
  ])('would let more with %s', async (_name, mistake: Partial<SimulationOptions>) => {
    const bound = limited(1)
    const run = await fc.check(fc.asyncProperty(stretched(bound), rates, async (steps, clocks) => {
      const model = new GrantSimulation({ bound, rates: clocks, ...mistake })
      await model.run(steps)
      return model.maxSentInWindow <= bound.requests
    }), { seed: SEED, numRuns: Math.max(RUNS, 200), endOnFailure: true })
    expect(run.failed).toBe(true)
  }, LONG_MS)
})
