import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { GRANT_LEASE_MS } from '../src/leased-grant-ledger.ts'
import { createColdGrantBound, GrantLedger, COLD_GRANT_VALID_MS, createLimitGrantBound, COLD_ACCOUNTING_WINDOW_MS, computeAccountingWindowMs, COLD_WINDOW_MS, type GrantBound } from '../src/grant-ledger.ts'
import { BOXES, GrantSimulation, type SimulationOptions, type Step, type GrantUse } from './grant-simulation.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 20_262)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 100)
const BOUND = 21
/** Largest relative deviation of a clock. */
const DRIFT = 0.02
const CONTROLS = 3
/** Timeout that allows for several minutes with many runs. */
const LONG_MS = 600_000

const requests = fc.constantFrom(1, 3, 5, 5, 5)
const delay = fc.oneof({ weight: 8, arbitrary: fc.nat(20) }, { weight: 1, arbitrary: fc.nat(1500) })
const isLost = fc.nat(19).map((draw) => draw === 0)
const afterMs = fc.nat(40)
const box = fc.nat(BOXES - 1)
const control = fc.nat(CONTROLS - 1)

const grantRequest = fc.record({
  afterMs, type: fc.constant('request' as const), box, control, requests, requestDelayMs: delay, responseDelayMs: delay, isLost
})
const otherStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ afterMs, type: fc.constant('observe' as const), control }) },
  { weight: 1, arbitrary: fc.record({ afterMs, type: fc.constant('restartBox' as const), box }) },
  { weight: 1, arbitrary: fc.record({ afterMs, type: fc.constant('restartControl' as const), control }) }
)
/** Extreme shares are frequent, since late sending followed by immediate sending comes closest to the bound. */
const share = fc.oneof(fc.constant(0), fc.constant(1), fc.constant(1), fc.double({ min: 0, max: 1, noNaN: true }))
const use: fc.Arbitrary<GrantUse> = fc.record({ dispatchDelayShare: share, connectDelayShare: share })
/** A phase in which all boxes use their grants in the same way. */
const phase = fc.record({
  use, steps: fc.array(grantRequest, { minLength: 20, maxLength: 80, size: 'max' }), last: fc.option(otherStep, { freq: 3 })
}).map(({ use, steps, last }): Step[] => [...steps.map((step): Step => ({ ...step, use })), ...(last === null ? [] : [last])])

const rates = fc.array(fc.constantFrom(1 - DRIFT, 1, 1 + DRIFT), { minLength: CONTROLS + BOXES, maxLength: CONTROLS + BOXES })
/** A term that is long enough to contain grants. A leader begins to grant after about three seconds. */
const term = fc.record({
  control, notifiesOldLeader: fc.boolean(), phases: fc.array(phase, { minLength: 4, maxLength: 8, size: 'max' })
})
const scenarios = fc.array(term, { minLength: 1, maxLength: 4, size: 'max' }).map((terms) => terms.flatMap(({ control, notifiesOldLeader, phases }): Step[] => (
  [{ afterMs: 0, type: 'elect', control, notifiesOldLeader }, ...phases.flat()]
)))

describe('grants for a cold endpoint', () => {
  it('limit the requests within any second to the bound', async () => {
    let granted = 0
    let most = 0
    await fc.assert(fc.asyncProperty(scenarios, rates, async (steps, clocks) => {
      const simulation = new GrantSimulation({ bound: createColdGrantBound(BOUND), clockRates: clocks })
      await simulation.run(steps)
      granted += simulation.granted
      most = Math.max(most, simulation.maxSentInWindow)
      expect(simulation.maxSentInWindow).toBeLessThanOrEqual(BOUND)
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${granted} granted, at most ${most} of ${BOUND} sent within a second`)
    // The check is meaningful only if the simulation comes close to the bound.
    expect(most).toBeGreaterThan(BOUND - 3)
  }, LONG_MS)

  it.each([
    ['a leader that does not wait for the grants of the previous leader to expire', {
      leaseMs: 1, createLedger: (now: number) => new GrantLedger({ startsAt: now, initialDelayMs: 0 })
    }],
    ['a leader that skips the confirmation of its lease', { skipsConfirmation: true }],
    ['a ledger that counts a grant for one window only', {
      createLedger: (now: number) => new GrantLedger({
        startsAt: now + 2 * COLD_ACCOUNTING_WINDOW_MS,
        computeAccountingWindowMs: () => COLD_WINDOW_MS
      })
    }],
    ['a ledger that ignores the validity of grants', {
      createLedger: (now: number) => new GrantLedger({
        startsAt: now + 2 * COLD_ACCOUNTING_WINDOW_MS,
        computeAccountingWindowMs: () => COLD_ACCOUNTING_WINDOW_MS - COLD_GRANT_VALID_MS
      })
    }],
    ['a box that counts the validity of a grant from the response', { countsValidityFromResponse: true }]
  ])('exceed the bound with %s', async (_name, fault: Partial<SimulationOptions>) => {
    const run = await fc.check(fc.asyncProperty(scenarios, rates, async (steps, clocks) => {
      const simulation = new GrantSimulation({ bound: createColdGrantBound(BOUND), clockRates: clocks, ...fault })
      await simulation.run(steps)
      return simulation.maxSentInWindow <= BOUND
    }), { seed: SEED, numRuns: Math.max(RUNS, 200), endOnFailure: true })
    expect(run.failed).toBe(true)
  }, LONG_MS)
})

describe('grants for an endpoint that advertises a limit', () => {
  const createBound = (perSecond: number) => createLimitGrantBound(perSecond) as GrantBound
  /** Stretches scenarios to the window of a bound, and raises the number of requests to the bound. */
  const stretchScenarios = ({ windowMs, requests: most }: GrantBound) => scenarios.map((steps) => steps.map((step): Step => {
    const afterMs = step.afterMs * windowMs / COLD_WINDOW_MS
    return step.type === 'request' ? { ...step, afterMs, requests: Math.max(step.requests, most) } : { ...step, afterMs }
  }))

  it.each([0, 0.3, 1, 20])('limit the requests over any four seconds to %d per second', async (perSecond) => {
    const bound = createBound(perSecond)
    let granted = 0
    let most = 0
    await fc.assert(fc.asyncProperty(stretchScenarios(bound), rates, async (steps, clocks) => {
      const simulation = new GrantSimulation({ bound, clockRates: clocks })
      await simulation.run(steps)
      granted += simulation.granted
      most = Math.max(most, simulation.maxSentInWindow)
      expect(simulation.maxSentInWindow).toBeLessThanOrEqual(bound.requests)
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${granted} granted, at most ${most} of ${bound.requests} sent within ${Math.round(bound.windowMs)} ms`)
    // The check is meaningful only if the simulation comes close to the bound.
    expect(most).toBeGreaterThanOrEqual(Math.ceil(0.9 * bound.requests))
  }, LONG_MS)

  it.each([
    ['a leader that does not wait for the grants of the previous leader to expire', { leaseMs: 1, createLedger: (now: number) => new GrantLedger({ startsAt: now - computeAccountingWindowMs(createBound(1)), initialDelayMs: 0 }) }],
    ['a leader that skips the confirmation of its lease', { skipsConfirmation: true }],
    ['a ledger that ignores the validity of grants', {
      createLedger: (now: number) => new GrantLedger({
        startsAt: now + GRANT_LEASE_MS + COLD_ACCOUNTING_WINDOW_MS,
        computeAccountingWindowMs: ({ windowMs }) => windowMs
      })
    }],
    ['a box that counts the validity of a grant from the response', { countsValidityFromResponse: true }]
  ])('exceed the bound with %s', async (_name, fault: Partial<SimulationOptions>) => {
    const bound = createBound(1)
    const run = await fc.check(fc.asyncProperty(stretchScenarios(bound), rates, async (steps, clocks) => {
      const simulation = new GrantSimulation({ bound, clockRates: clocks, ...fault })
      await simulation.run(steps)
      return simulation.maxSentInWindow <= bound.requests
    }), { seed: SEED, numRuns: Math.max(RUNS, 200), endOnFailure: true })
    expect(run.failed).toBe(true)
  }, LONG_MS)
})
