import { describe, expect, it } from 'vitest'
import { RetryBudget } from '@gullwall/routing.balancer'

const WINDOW_MS = 10_000
const SLACK = 60
const STEP_MS = 50

/** Takes as many retries as the budget permits at each step after `from`; returns when they were taken. */
function takeAll (budget: RetryBudget, clock: { now: number }, from: number, to: number): number[] {
  const taken: number[] = []
  for (clock.now = from; clock.now <= to; clock.now += STEP_MS) {
    while (budget.tryTake()) taken.push(clock.now)
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
      const budget = new RetryBudget({ ratio: 0.2, windowMs: WINDOW_MS, slack: SLACK, entryCount: () => 1, now: () => clock.now })
      const taken = takeAll(budget, clock, 2 * WINDOW_MS + phaseMs, 5 * WINDOW_MS)
      expect(taken.length).toBeGreaterThan(SLACK)
      expect(mostInWindow(taken)).toBeLessThanOrEqual(SLACK)
    }
  })
})
