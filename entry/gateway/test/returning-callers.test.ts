import { describe, expect, it } from 'vitest'
import { ReturningCallers } from '../src/returning-callers.ts'

const LIMIT_MS = 6000

describe('a caller', () => {
  it('has come back if others on its route state a longer time limit', () => {
    const callers = new ReturningCallers(() => 0)
    expect(callers.record('r', LIMIT_MS)).toBe(false)
    expect(callers.record('r', LIMIT_MS - 300)).toBe(true)
    expect(callers.record('r', LIMIT_MS - 1)).toBe(false)
    expect(callers.record('other', LIMIT_MS - 300)).toBe(false)
  })

  it('without a time limit has not come back', () => {
    const callers = new ReturningCallers(() => 0)
    callers.record('r', LIMIT_MS)
    expect(callers.record('r', undefined)).toBe(false)
  })

  it('is not compared with a time limit of long ago', () => {
    let now = 0
    const callers = new ReturningCallers(() => now)
    callers.record('r', 100 * LIMIT_MS)
    for (; now < 60_000; now += 10_000) expect(callers.record('r', LIMIT_MS)).toBe(true)
    expect(callers.record('r', LIMIT_MS)).toBe(false)
  })
})

it('routes of earlier documents are forgotten', () => {
  const callers = new ReturningCallers(() => 0)
  callers.record('first', LIMIT_MS)
  for (let route = 0; route < 5000; route += 1) callers.record(`r-${route}`, LIMIT_MS)
  expect(callers.record('first', LIMIT_MS - 300)).toBe(false)
})
