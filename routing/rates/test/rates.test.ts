import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { createRateBound, MIN_REQUESTS_PER_SECOND, LIMIT_WINDOW_MS, RateMeter, SendLog, type RateBound } from '../src/index.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 20_264)

describe('the bound of a limit', () => {
  it.each([
    [1, 4, 4000], [20, 80, 4000], [0.25, 1, 4000], [0.1, 1, 10_000], [0, 1, 10_000], [0.01, 1, 10_000], [1.2, 5, 5 / 1.2 * 1000],
    [10_000, 40_000, 4000]
  ])('of %d a second is %d requests within %d ms', (perSecond, requests, windowMs) => {
    const bound = createRateBound(perSecond)
    expect(bound?.requests).toBe(requests)
    expect(bound?.windowMs).toBeCloseTo(windowMs)
  })

  it('is none where it is more than any endpoint is ever sent', () => {
    expect(createRateBound(10_001)).toBeUndefined()
    expect(createRateBound(1e300)).toBeUndefined()
  })

  it('is never more than the rate over four seconds, in whole requests, and the rate in the long run', () => {
    fc.assert(fc.property(fc.double({ min: 0, max: 10_000, noNaN: true }), (perSecond) => {
      const bound = createRateBound(perSecond)
      const rate = Math.max(perSecond, MIN_REQUESTS_PER_SECOND)
      expect(bound?.requests).toBeLessThanOrEqual(Math.max(1, Math.ceil(rate * LIMIT_WINDOW_MS / 1000)))
      expect((bound?.requests ?? 0) / (bound?.windowMs ?? 0) * 1000).toBeCloseTo(rate)
    }), { seed: SEED })
  })
})

describe('the log of what was sent', () => {
  const bound = { requests: 4, windowMs: 4000, segments: 2, extraPerSegment: 0 }

  it('frees a part of the bound in each part of the window, and says when', () => {
    const log = new SendLog()
    expect(log.remaining(bound, 0)).toBe(2)
    log.add(2, 0)
    expect(log.remaining(bound, 0)).toBe(0)
    expect(log.waitMs(bound, 0)).toBe(2000)
    expect(log.remaining(bound, 2001)).toBe(2)
    log.add(2, 2001)
    expect(log.remaining(bound, 3999)).toBe(0)
    expect(log.remaining(bound, 4002)).toBe(2)
    expect(new SendLog().remaining({ ...bound, extraPerSegment: 1 }, 0)).toBe(3)
    expect(new SendLog().remaining({ ...bound, extraPerSegment: 9 }, 0)).toBe(4)
  })

  it('that assumes what another one has let through never lets more through together with it', () => {
    const any = fc.record({ perSecond: fc.constantFrom(0.3, 1, 3, 20), gaps: fc.array(fc.nat(400), { minLength: 50, maxLength: 200, size: 'max' }) })
    fc.assert(fc.property(any, fc.nat(6000), fc.nat(500), ({ perSecond, gaps }, handedOverAt, pauseMs) => {
      const limit = createRateBound(perSecond) as RateBound
      const logs = [new SendLog(), new SendLog()] as const
      logs[1].assumeFullUse(limit, handedOverAt)
      const sent: number[] = []
      let now = 0
      for (const gap of gaps) {
        now += gap
        const log = now <= handedOverAt ? logs[0] : logs[1]
        if (log === logs[1] && now < handedOverAt + pauseMs) continue
        for (let free = log.remaining(limit, now); free > 0; free -= 1) {
          log.add(1, now)
          sent.push(now)
        }
        expect(sent.filter((at) => at > now - limit.windowMs).length).toBeLessThanOrEqual(limit.requests)
      }
    }), { seed: SEED })
  })
})

describe('the meter of the only way to an endpoint', () => {
  it('never lets more than the rate through over any four seconds, whatever is named when, and is used in full', () => {
    const step = fc.record({ afterMs: fc.nat(300), word: fc.option(fc.constantFrom(undefined, 0, 0.5, 1, 5, 20), { freq: 30 }) })
    fc.assert(fc.property(fc.array(step, { minLength: 100, maxLength: 400, size: 'max' }), (steps) => {
      const meter = new RateMeter()
      meter.setLimit(1)
      let namedAt = 0
      let perSecond: number | undefined = 1
      let sent: number[] = []
      let now = 0
      for (const { afterMs, word } of steps) {
        now += afterMs
        if (word !== null) {
          meter.setLimit(word)
          // What was sent before the word is not held against it.
          if (perSecond !== word) { namedAt = now; sent = [] }
          perSecond = word
        }
        if (meter.remaining(now) < 1) continue
        meter.recordSent(now)
        sent.push(now)
        if (perSecond === undefined) continue
        const most = Math.max(1, Math.ceil(perSecond * LIMIT_WINDOW_MS / 1000))
        expect(sent.filter((at) => at > Math.max(namedAt, now - LIMIT_WINDOW_MS)).length).toBeLessThanOrEqual(most)
      }
    }), { seed: SEED })
    const meter = new RateMeter()
    meter.setLimit(20)
    let sent = 0
    for (let now = 0; now < 40_000; now += 5) {
      if (meter.remaining(now) < 1) continue
      meter.recordSent(now)
      sent += 1
    }
    expect(sent).toBeGreaterThan(0.9 * 20 * 40)
  })
})
