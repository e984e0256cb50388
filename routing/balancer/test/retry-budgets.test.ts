import { describe, expect, it } from 'vitest'
import { RetryBudgets, type WeightedService } from '@gullwall/routing.balancer'

const MODEL = [{ service: 'model', weight: 1 }]
const DESK = [{ service: 'desk', weight: 1 }]
const MANY_REQUESTS = 1000

function createBudgets (slack = 0): RetryBudgets {
  return new RetryBudgets({ ratio: 0.2, windowMs: 10_000, slack, entryCount: () => 1, now: () => 0 })
}

function recordMany (budgets: RetryBudgets, split: readonly WeightedService[]): void {
  for (let request = 0; request < MANY_REQUESTS; request += 1) budgets.recordRequest(split)
}

describe('the retry budgets of several services', () => {
  it('allow no retries at one service for the requests of another', () => {
    const budgets = createBudgets()
    recordMany(budgets, MODEL)
    expect(budgets.recordRequest(MODEL).tryReserve()).toBe(true)
    expect(budgets.recordRequest(DESK).tryReserve()).toBe(false)
  })

  it('are used up one by one', () => {
    const budgets = createBudgets(10)
    const model = budgets.recordRequest(MODEL)
    while (model.tryReserve()) model.recordSent('model')
    expect(budgets.recordRequest(DESK).tryReserve()).toBe(true)
    expect(budgets.recordRequest(MODEL).tryReserve()).toBe(false)
  })

  it('count the requests of a route by the weights of its services', () => {
    const budgets = createBudgets()
    recordMany(budgets, [{ service: 'model', weight: 99 }, { service: 'canary', weight: 1 }])
    const canary = budgets.recordRequest([{ service: 'canary', weight: 1 }])
    expect(canary.remaining).toBeLessThan(2)
    expect(budgets.recordRequest(MODEL).remaining).toBeGreaterThan(100)
  })

  it('count a retry only at the service that it is sent to', () => {
    const budgets = createBudgets(10)
    const retries = budgets.recordRequest([{ service: 'model', weight: 1 }, { service: 'canary', weight: 1 }])
    const before = retries.remaining
    expect(retries.tryReserve()).toBe(true)
    retries.recordSent('canary')
    expect(budgets.recordRequest(MODEL).remaining).toBeGreaterThanOrEqual(before)
    expect(retries.remaining).toBeCloseTo(before - 1, 0)
  })

  it('allow a request as many retries as the strictest service of its route', () => {
    const budgets = createBudgets()
    recordMany(budgets, MODEL)
    expect(budgets.recordRequest([...MODEL, ...DESK]).tryReserve()).toBe(false)
  })
})
