import { describe, expect, it } from 'vitest'
import { organisationSchema } from '@gullwall/config.records'
import { AdaptiveLimit, OrganisationLimits, RetryBudget } from '@gullwall/routing.limits'

const hash = `sha256:${'0'.repeat(24)}:${'0'.repeat(64)}`

describe('the adaptive limit', () => {
  it('falls while gaps are over the target and rises while slots are short', () => {
    const limit = new AdaptiveLimit({ initialLimit: 10, maxLimit: 12, samplesPerStep: 10 })
    for (let sample = 0; sample < 10; sample++) limit.addGap(100, 72)
    expect(limit.limit).toBe(9)
    for (let step = 0; step < 5; step++) {
      limit.recordFull()
      for (let sample = 0; sample < 10; sample++) limit.addGap(30, 72)
    }
    expect(limit.limit).toBe(12)
  })

  it('does not rise while there is room, and never falls below one', () => {
    const limit = new AdaptiveLimit({ initialLimit: 2, maxLimit: 12, samplesPerStep: 1 })
    limit.addGap(1, 72)
    expect(limit.limit).toBe(2)
    for (let sample = 0; sample < 50; sample++) limit.addGap(1000, 72)
    expect(limit.limit).toBe(1)
  })
})

describe('limits of an organisation', () => {
  const organisation = organisationSchema.parse({ keys: [hash], classes: ['c'], ratePerSecond: 10, burst: 2, maxInFlight: 3 })

  it('let a burst through, then the rate, and say when to come back', () => {
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
  it('is a share of successes', () => {
    const budget = new RetryBudget()
    let taken = 0
    while (budget.tryTake()) taken += 1
    for (let success = 0; success < 100; success++) budget.recordSuccess()
    let more = 0
    while (budget.tryTake()) more += 1
    expect(taken).toBe(10)
    expect(more).toBeLessThanOrEqual(10)
    expect(more).toBeGreaterThanOrEqual(9)
  })
})
