import { describe, expect, it } from 'vitest'
import { RetryBudget, type RetryBudgetOptions } from '@gullwall/routing.balancer'

const WINDOW_MS = 10_000
const SLACK = 60
const STEP_MS = 50
/** Time for which a retry may wait for an endpoint. */
const WAIT_MS = 2300

function createBudget (clock: { now: number }, options: Partial<RetryBudgetOptions> = {}): RetryBudget {
  return new RetryBudget({
    ratio: 0.2, windowMs: WINDOW_MS, slack: SLACK, entryCount: () => 1, now: () => clock.now, ...options
  })
}

/** Takes as many retries as the budget permits at each step after `from`; returns when they were taken. */
function takeAll (budget: RetryBudget, clock: { now: number }, from: number, to: number): number[] {
  const taken: number[] = []
  for (clock.now = from; clock.now <= to; clock.now += STEP_MS) {
    while (budget.tryReserve()) {
      budget.recordSent()
      taken.push(clock.now)
    }
  }
  return taken
}

function mostInWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length))
}

describe('a retry budget', () => {
  it('permits no second burst while the first one is in the window, at any phase of its buckets', () => {
    for (let phaseMs = 0; phaseMs < 1000; phaseMs += 100) {
      const clock = { now: 0 }
      const budget = createBudget(clock)
      const taken = takeAll(budget, clock, 2 * WINDOW_MS + phaseMs, 5 * WINDOW_MS)
      expect(taken.length).toBeGreaterThan(SLACK)
      expect(mostInWindow(taken)).toBeLessThanOrEqual(SLACK)
    }
  })

  it('counts retries that waited for an endpoint from the time at which they were sent', () => {
    const clock = { now: 0 }
    const budget = createBudget(clock)
    const sent: number[] = []
    while (budget.tryReserve()) sent.push(WAIT_MS)
    clock.now = WAIT_MS
    sent.forEach(() => budget.recordSent())
    sent.push(...takeAll(budget, clock, WAIT_MS, 3 * WINDOW_MS))
    expect(sent.length).toBeGreaterThan(SLACK)
    expect(mostInWindow(sent)).toBeLessThanOrEqual(SLACK)
  })

  it('gives back a retry that was not sent', () => {
    const budget = createBudget({ now: 0 })
    while (budget.tryReserve());
    budget.cancel()
    expect([budget.tryReserve(), budget.tryReserve()]).toEqual([true, false])
  })

  it('allows no slack, but the ratio of its own requests, while another process may use its share', () => {
    const clock = { now: 0 }
    const budget = createBudget(clock, { entryCount: () => undefined })
    expect(takeAll(budget, clock, 0, 3 * WINDOW_MS)).toEqual([])
    for (let request = 0; request < 100; request += 1) budget.recordRequest()
    expect(takeAll(budget, clock, clock.now, clock.now + 1000).length).toBeGreaterThan(10)
  })

  it('does not allow retries for requests from before a suspension that lasted for a window', () => {
    const clock = { now: 0 }
    let suspendedMs = 0
    const budget = createBudget(clock, { entryCount: () => undefined, suspendedMs: () => suspendedMs })
    for (let request = 0; request < 100; request += 1) budget.recordRequest()
    suspendedMs = WINDOW_MS
    expect(takeAll(budget, clock, 0, 1000)).toEqual([])
  })
})
