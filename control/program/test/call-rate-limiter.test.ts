/** The backoff after calls that failed or were refused. */
import { describe, expect, it } from 'vitest'
import { CallRateLimiter } from '../src/call-rate-limiter.ts'

describe('CallRateLimiter', () => {
  it('increases the backoff with each failed call', () => {
    const rateLimiter = new CallRateLimiter(10, () => 0.5)
    rateLimiter.backOff(0)
    expect([rateLimiter.isBackoffOver(499), rateLimiter.isBackoffOver(500)]).toEqual([false, true])
    rateLimiter.backOff(500)
    expect([rateLimiter.isBackoffOver(1499), rateLimiter.isBackoffOver(1500)]).toEqual([false, true])
  })

  it('backs off at least for the requested time', () => {
    const rateLimiter = new CallRateLimiter(10, () => 0.5)
    rateLimiter.backOff(0, 7000)
    expect([rateLimiter.isBackoffOver(6999), rateLimiter.isBackoffOver(7000)]).toEqual([false, true])
    rateLimiter.recordSuccess()
    rateLimiter.backOff(7000, 100)
    expect([rateLimiter.isBackoffOver(7499), rateLimiter.isBackoffOver(7500)]).toEqual([false, true])
  })
})
