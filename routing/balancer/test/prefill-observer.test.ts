import { describe, expect, it } from 'vitest'
import { EndpointState, PrefillObserver, delayedStreamShare, pauseSensitivityOf } from '@gullwall/routing.balancer'

const BUSY = 10_000

describe('the prefill estimates of an engine', () => {
  it('converge to the observed speed', () => {
    const slow = new PrefillObserver()
    for (let count = 0; count < 100; count++) slow.recordPrefill({ tokens: 2000, aheadTokens: 0, tookMs: 100 })
    expect(slow.tokensPerMs).toBeCloseTo(20, 0)
    const fast = new PrefillObserver()
    for (let count = 0; count < 100; count++) fast.recordPrefill({ tokens: 6000, aheadTokens: 0, tookMs: 100 })
    expect(fast.tokensPerMs).toBeCloseTo(60, 0)
  })

  it('stay within bounds when an observation is far off', () => {
    const observer = new PrefillObserver()
    const before = observer.tokensPerMs
    observer.recordPrefill({ tokens: 2000, aheadTokens: 0, tookMs: 60_000 })
    expect(observer.tokensPerMs).toBeGreaterThan(0.9 * before)
    observer.recordPrefill({ tokens: 10, aheadTokens: 90_000, tookMs: 10 })
    expect(observer.tokensPerMs).toBeLessThan(before)
    for (let count = 0; count < 1000; count++) observer.recordPrefill({ tokens: 2000, aheadTokens: 0, tookMs: 60_000 })
    expect(observer.tokensPerMs).toBeGreaterThan(0)
  })

  it('include the pause of streams, from pauses during prefill only', () => {
    const observer = new PrefillObserver()
    for (let pause = 0; pause < 100; pause++) observer.recordPause(30, 0)
    expect(observer.pauseMs).toBe(200)
    observer.sample(BUSY, 1000)
    for (let pause = 0; pause < 100; pause++) observer.recordPause(300, 900)
    expect(observer.pauseMs).toBeCloseTo(300, 0)
  })

  it('follow long pauses more closely than short ones', () => {
    const observer = new PrefillObserver()
    observer.sample(BUSY, 1000)
    for (let pause = 0; pause < 500; pause++) observer.recordPause(pause % 5 === 0 ? 250 : 100, 900)
    expect(observer.pauseMs).toBeGreaterThan(180)
  })

  it('are updated by the attempts at an endpoint', () => {
    const endpoint = new EndpointState({ incarnation: 'i', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 64 })
    for (let attempt = 0; attempt < 100; attempt++) {
      const request = endpoint.begin({ prompt: [], unreadTokens: 4000, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
      endpoint.samplePrefill(5)
      endpoint.recordEvents(request, 100)
      endpoint.end(request, 'success', 100)
    }
    expect(endpoint.prefill.tokensPerMs).toBeCloseTo(40, 0)
    expect(endpoint.prefill.busyShare).toBeGreaterThan(0.9)
  })
})

describe('the pause sensitivity of a stream', () => {
  it('is 1 if its limit equals the pauses during prefill, and small if the limit is much longer', () => {
    expect(pauseSensitivityOf(200, 200)).toBe(1)
    expect(pauseSensitivityOf(600, 200)).toBeLessThan(0.05)
    expect(pauseSensitivityOf(undefined, 200)).toBe(0)
    expect(pauseSensitivityOf(100, 2000)).toBe(1.5)
  })

  it('matters only for prefill above a minimum duration', () => {
    expect([delayedStreamShare(50), delayedStreamShare(150), delayedStreamShare(900)]).toEqual([0, 0.5, 1])
  })
})
