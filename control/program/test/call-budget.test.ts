/** The backoff after calls that failed or were refused. */
import { describe, expect, it } from 'vitest'
import { CallBudget } from '../src/call-budget.ts'

describe('CallBudget', () => {
  it('increases the backoff with each failed call', () => {
    const budget = new CallBudget(10, () => 0.5)
    budget.backOff(0)
    expect([budget.mayTry(499), budget.mayTry(500)]).toEqual([false, true])
    budget.backOff(500)
    expect([budget.mayTry(1499), budget.mayTry(1500)]).toEqual([false, true])
  })

  it('backs off at least for the requested time', () => {
    const budget = new CallBudget(10, () => 0.5)
    budget.backOff(0, 7000)
    expect([budget.mayTry(6999), budget.mayTry(7000)]).toEqual([false, true])
    budget.noteAnswer()
    budget.backOff(7000, 100)
    expect([budget.mayTry(7499), budget.mayTry(7500)]).toEqual([false, true])
  })
})
