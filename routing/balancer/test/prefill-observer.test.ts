import { describe, expect, it } from 'vitest'
import { EndpointState, PrefillObserver, delayedStreamShare, pauseSensitivityOf } from '@gullwall/routing.balancer'

const BUSY = 10_000

describe('what is learnt of an engine that reads', () => {
  it('is how fast it reads, whatever it was taken to do', () => {
    const slow = new PrefillObserver()
    for (let read = 0; read < 100; read++) slow.recordPrefill({ tokens: 2000, aheadTokens: 0, tookMs: 100 })
    expect(slow.tokensPerMs).toBeCloseTo(20, 0)
    const fast = new PrefillObserver()
    for (let read = 0; read < 100; read++) fast.recordPrefill({ tokens: 6000, aheadTokens: 0, tookMs: 100 })
    expect(fast.tokensPerMs).toBeCloseTo(60, 0)
  })

  it('is bounded, also where one observation is far off', () => {
    const observer = new PrefillObserver()
    const before = observer.tokensPerMs
    observer.recordPrefill({ tokens: 2000, aheadTokens: 0, tookMs: 60_000 })
    expect(observer.tokensPerMs).toBeGreaterThan(0.9 * before)
    observer.recordPrefill({ tokens: 10, aheadTokens: 90_000, tookMs: 10 })
    expect(observer.tokensPerMs).toBeLessThan(before)
    for (let read = 0; read < 1000; read++) observer.recordPrefill({ tokens: 2000, aheadTokens: 0, tookMs: 60_000 })
    expect(observer.tokensPerMs).toBeGreaterThan(0)
  })

  it('is how long streams pause meanwhile: only pauses in which it read count', () => {
    const observer = new PrefillObserver()
    for (let pause = 0; pause < 100; pause++) observer.recordPause(30, 0)
    expect(observer.pauseMs).toBe(200)
    observer.sample(BUSY, 1000)
    for (let pause = 0; pause < 100; pause++) observer.recordPause(300, 900)
    expect(observer.pauseMs).toBeCloseTo(300, 0)
  })

  it('follows the long pauses rather than the short ones', () => {
    const observer = new PrefillObserver()
    observer.sample(BUSY, 1000)
    for (let pause = 0; pause < 500; pause++) observer.recordPause(pause % 5 === 0 ? 250 : 100, 900)
    expect(observer.pauseMs).toBeGreaterThan(180)
  })

  it('comes from the attempts of an endpoint', () => {
    const endpoint = new EndpointState({ incarnation: 'i', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 64 })
    for (let attempt = 0; attempt < 100; attempt++) {
      const work = endpoint.begin({ prompt: [], unreadTokens: 4000, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
      endpoint.samplePrefill(5)
      endpoint.recordEvents(work, 100)
      endpoint.end(work, 'good', 100)
    }
    expect(endpoint.prefill.tokensPerMs).toBeCloseTo(40, 0)
    expect(endpoint.prefill.busyShare).toBeGreaterThan(0.9)
  })
})

describe('the strain of a stream', () => {
  it('is about 1 where it bears just the pauses that reading makes, and small where it bears far more', () => {
    expect(pauseSensitivityOf(200, 200)).toBe(1)
    expect(pauseSensitivityOf(600, 200)).toBeLessThan(0.05)
    expect(pauseSensitivityOf(undefined, 200)).toBe(0)
    expect(pauseSensitivityOf(100, 2000)).toBe(1.5)
  })

  it('tells only once reading takes longer than a stream waits between events', () => {
    expect([delayedStreamShare(50), delayedStreamShare(150), delayedStreamShare(900)]).toEqual([0, 0.5, 1])
  })
})
