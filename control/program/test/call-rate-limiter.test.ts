/** The pauses of a duty whose calls fail, or are turned away. */
import { describe, expect, it } from 'vitest'
import { CallRateLimiter } from '../src/call-rate-limiter.ts'

describe('a duty', () => {
  it('pauses longer with each call that fails', () => {
    const budget = new CallRateLimiter(10, () => 0.5)
    budget.backOff(0)
    expect([budget.isBackoffOver(499), budget.isBackoffOver(500)]).toEqual([false, true])
    budget.backOff(500)
    expect([budget.isBackoffOver(1499), budget.isBackoffOver(1500)]).toEqual([false, true])
  })

  it('pauses at least for as long as was asked for', () => {
    const budget = new CallRateLimiter(10, () => 0.5)
    budget.backOff(0, 7000)
    expect([budget.isBackoffOver(6999), budget.isBackoffOver(7000)]).toEqual([false, true])
    budget.recordSuccess()
    budget.backOff(7000, 100)
    expect([budget.isBackoffOver(7499), budget.isBackoffOver(7500)]).toEqual([false, true])
  })
})
