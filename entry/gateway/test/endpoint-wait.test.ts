/** How long requests wait for endpoints that back off, in which order they are woken, and the retry delay of refused callers. */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type Call } from '../src/call.ts'
import { chooseRetryAfterMs, waitRank, findWaitDeadline } from '../src/endpoint-wait.ts'

const TARGET_MS = 400
const route = { targetMs: TARGET_MS } as Call['route']
const call = { arrivedAt: 1000, deadline: 9000, route }

describe('a request', () => {
  it('waits for an endpoint for a quarter of its target', () => {
    expect(findWaitDeadline({ call, resumedAt: undefined, availabilityDelayMs: 0, now: 1010 })).toBe(1100)
    expect(findWaitDeadline({ call: { ...call, deadline: 1050 }, resumedAt: undefined, availabilityDelayMs: 0, now: 1010 })).toBe(1050)
  })

  it('waits for the same time if the first backoff ends by then, and not at all otherwise', () => {
    expect(findWaitDeadline({ call, resumedAt: undefined, availabilityDelayMs: 90, now: 1010 })).toBe(1100)
    expect(findWaitDeadline({ call, resumedAt: undefined, availabilityDelayMs: 91, now: 1010 })).toBe(1010)
  })

  it('that may have run waits for a backoff and slow start for up to two seconds, within its deadline', () => {
    expect(findWaitDeadline({ call, resumedAt: 3000, availabilityDelayMs: 1500, now: 3000 })).toBe(5000)
    expect(findWaitDeadline({ call, resumedAt: 3000, availabilityDelayMs: 2001, now: 3000 })).toBe(3000)
    expect(findWaitDeadline({ call: { ...call, deadline: 4550 }, resumedAt: 3000, availabilityDelayMs: 1500, now: 3000 })).toBe(4550)
    expect(findWaitDeadline({ call: { ...call, deadline: 4400 }, resumedAt: 3000, availabilityDelayMs: 1500, now: 3000 })).toBe(3000)
  })

  it('never waits beyond its deadline, nor for a backoff that ends too late', () => {
    fc.assert(fc.property(fc.nat(5000), fc.nat(5000), fc.option(fc.nat(3000), { nil: undefined }), (restMs, deadlineMs, resumed) => {
      const deadline = call.arrivedAt + deadlineMs
      const now = call.arrivedAt + (resumed ?? 0)
      const waitDeadline = findWaitDeadline(
        { call: { ...call, deadline }, resumedAt: resumed === undefined ? undefined : now, availabilityDelayMs: restMs, now }
      )
      expect(waitDeadline).toBeLessThanOrEqual(Math.max(now, deadline))
      if (restMs > 0 && waitDeadline > now) expect(waitDeadline).toBeGreaterThanOrEqual(now + restMs)
    }), { numRuns: 1000 })
  })
})

describe('callers that are refused', () => {
  it('retry after the backoff, spread over a second with the more urgent first', () => {
    expect([0, 1, 2, 3, 7].map((tier) => chooseRetryAfterMs(3000, tier, () => 0))).toEqual([3000, 3250, 3500, 3750, 3750])
    expect(chooseRetryAfterMs(3000, 3, () => 0.999)).toBeLessThan(4000)
  })
})

describe('of waiting requests', () => {
  it('the more urgent are woken first, but no request starves behind later arrivals', () => {
    const rank = (tier: number, arrivedAt: number) => waitRank({ tier, arrivedAt })
    expect(rank(0, 1100)).toBeLessThan(rank(1, 1000))
    expect(rank(1, 1000)).toBeLessThan(rank(1, 1001))
    expect(rank(2, 1000)).toBeLessThan(rank(0, 1401))
  })
})
