import { describe, expect, it } from 'vitest'
import { organisationSchema } from '@gullwall/config.records'
import { AdaptiveLimit, OrganisationLimits, RetryBudget } from '@gullwall/routing.limits'

const hash = `sha256:${'0'.repeat(24)}:${'0'.repeat(64)}`

describe('the adaptive limit', () => {
  it('falls while the time between tokens exceeds its target, and rises while all slots are taken', () => {
    const limit = new AdaptiveLimit({ initialLimit: 10, maxLimit: 12, samplesPerStep: 10 })
    for (let sample = 0; sample < 10; sample++) limit.addGap(100, 72)
    expect(limit.limit).toBe(9)
    for (let step = 0; step < 5; step++) {
      limit.recordFull()
      for (let sample = 0; sample < 10; sample++) limit.addGap(30, 72)
    }
    expect(limit.limit).toBe(12)
  })

  it('does not rise while slots are free, and never falls below one', () => {
    const limit = new AdaptiveLimit({ initialLimit: 2, maxLimit: 12, samplesPerStep: 1 })
    limit.addGap(1, 72)
    expect(limit.limit).toBe(2)
    for (let sample = 0; sample < 50; sample++) limit.addGap(1000, 72)
    expect(limit.limit).toBe(1)
  })
})

describe('the limits of an organisation', () => {
  const organisation = organisationSchema.parse({ keys: [hash], classes: ['c'], ratePerSecond: 10, burst: 2, maxInFlight: 3 })

  it('admit a burst and then the rate, limit the requests in flight, and state when to retry', () => {
    const limits = new OrganisationLimits()
    expect([limits.admit('o', organisation, 0), limits.admit('o', organisation, 0)]).toEqual([undefined, undefined])
    expect(limits.admit('o', organisation, 0)).toEqual({ limit: 'rate', retryAfterMs: 100 })
    expect(limits.admit('o', organisation, 100)).toBeUndefined()
    expect(limits.admit('o', organisation, 1000)).toMatchObject({ limit: 'in-flight' })
    limits.release('o')
    expect(limits.admit('o', organisation, 1000)).toBeUndefined()
  })
})

describe('the retry budget', () => {
  let now = 0
  const createBudget = () => new RetryBudget({ now: () => now })

  function takeAll (budget: RetryBudget): number {
    let taken = 0
    while (budget.tryTake('parts')) taken += 1
    return taken
  }

  it('permits ten retries after ten seconds, and then one retry for ten successes', () => {
    const budget = createBudget()
    now += 10_000
    expect(takeAll(budget)).toBe(10)
    for (let success = 0; success < 100; success++) budget.recordSuccess('parts')
    const more = takeAll(budget)
    expect(more).toBeLessThanOrEqual(10)
    expect(more).toBeGreaterThanOrEqual(9)
  })

  it('earns no more than ten retries by time alone', () => {
    const budget = createBudget()
    now += 3_600_000
    expect(takeAll(budget)).toBe(10)
  })

  // A process had ten retries at each start, whatever its predecessors had sent.
  it('permits no more retries to processes that start again and again than to one that keeps running', () => {
    let taken = 0
    for (let life = 0; life < 20; life++) {
      const budget = createBudget()
      for (let step = 0; step < 5; step++) {
        taken += takeAll(budget)
        now += 100
      }
    }
    console.log(`${taken} retries in twenty lives of half a second`)
    expect(taken).toBeLessThanOrEqual(10)
  })

  // One budget for all services let the requests for one of them pay for the retries at another.
  it('does not let the requests for one service pay for the retries at another', () => {
    const budget = createBudget()
    for (let success = 0; success < 400; success++) budget.recordSuccess('orders')
    expect(takeAll(budget)).toBe(0)
  })
})
