import { describe, expect, it } from 'vitest'
import { EndpointState, ReadingObserver, spoiltShare, strainOf } from '@gullwall/routing.balancer'

const BUSY = 10_000

describe('the prefill estimates of an engine', () => {
  it('converge to the observed speed', () => {
    const slow = new ReadingObserver()
    for (let read = 0; read < 100; read++) slow.noteRead({ tokens: 2000, aheadTokens: 0, tookMs: 100 })
    expect(slow.tokensPerMs).toBeCloseTo(20, 0)
    const fast = new ReadingObserver()
    for (let read = 0; read < 100; read++) fast.noteRead({ tokens: 6000, aheadTokens: 0, tookMs: 100 })
    expect(fast.tokensPerMs).toBeCloseTo(60, 0)
  })

  it('stay within bounds when an observation is far off', () => {
    const observer = new ReadingObserver()
    const before = observer.tokensPerMs
    observer.noteRead({ tokens: 2000, aheadTokens: 0, tookMs: 60_000 })
    expect(observer.tokensPerMs).toBeGreaterThan(0.9 * before)
    observer.noteRead({ tokens: 10, aheadTokens: 90_000, tookMs: 10 })
    expect(observer.tokensPerMs).toBeLessThan(before)
    for (let read = 0; read < 1000; read++) observer.noteRead({ tokens: 2000, aheadTokens: 0, tookMs: 60_000 })
    expect(observer.tokensPerMs).toBeGreaterThan(0)
  })

  it('include the pause of streams, from pauses during prefill only', () => {
    const observer = new ReadingObserver()
    for (let pause = 0; pause < 100; pause++) observer.notePause(30, 0)
    expect(observer.pauseMs).toBe(200)
    observer.sample(BUSY, 1000)
    for (let pause = 0; pause < 100; pause++) observer.notePause(300, 900)
    expect(observer.pauseMs).toBeCloseTo(300, 0)
  })

  it('follow long pauses more closely than short ones', () => {
    const observer = new ReadingObserver()
    observer.sample(BUSY, 1000)
    for (let pause = 0; pause < 500; pause++) observer.notePause(pause % 5 === 0 ? 250 : 100, 900)
    expect(observer.pauseMs).toBeGreaterThan(180)
  })

  it('are updated by the attempts at an endpoint', () => {
    const endpoint = new EndpointState({ incarnation: 'i', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 64 })
    for (let attempt = 0; attempt < 100; attempt++) {
      const work = endpoint.begin({ prompt: [], unreadTokens: 4000, urgency: 0, strain: 0, isSensitive: false }, 0)
      endpoint.sampleReading(5)
      endpoint.noteEvents(work, 100)
      endpoint.end(work, 'good', 100)
    }
    expect(endpoint.reading.tokensPerMs).toBeCloseTo(40, 0)
    expect(endpoint.reading.share).toBeGreaterThan(0.9)
  })
})

describe('the pause sensitivity of a stream', () => {
  it('is 1 if its limit equals the pauses during prefill, and small if the limit is much longer', () => {
    expect(strainOf(200, 200)).toBe(1)
    expect(strainOf(600, 200)).toBeLessThan(0.05)
    expect(strainOf(undefined, 200)).toBe(0)
    expect(strainOf(100, 2000)).toBe(1.5)
  })

  it('matters only for prefill above a minimum duration', () => {
    expect([spoiltShare(50), spoiltShare(150), spoiltShare(900)]).toEqual([0, 0.5, 1])
  })
})
