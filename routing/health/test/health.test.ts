import { describe, expect, it } from 'vitest'
import { HealthMonitor, type EndpointSample } from '@gullwall/routing.health'

function samples (gaps: number[], peerGroup = 'parts/east'): EndpointSample[] {
  return gaps.map((tokenGapMs, index) => ({ name: `${peerGroup}/${index}`, peerGroup, tokenGapMs, firstTokenMs: 0, failuresInRow: 0 }))
}

describe('the health of endpoints', () => {
  it('puts a slow one aside, probes it and brings it back', () => {
    const health = new HealthMonitor()
    const seen = samples([50, 55, 60, 300])
    const slow = 'parts/east/3'
    expect(health.evaluate(seen, 0)).toMatchObject([{ endpoint: slow, state: 'ejected' }])
    expect(health.evaluate(seen, 1000)).toEqual([])
    expect(health.evaluate(seen, 2500)).toMatchObject([{ endpoint: slow, state: 'probing' }])
    health.recordSuccess(slow)
    health.recordSuccess(slow)
    expect(health.evaluate(samples([50, 55, 60, 58]), 3600)).toMatchObject([{ endpoint: slow, state: 'healthy' }])
  })

  it('keeps one aside whose probes end well but slowly', () => {
    const health = new HealthMonitor()
    const slow = 'parts/east/3'
    health.evaluate(samples([50, 55, 60, 300]), 0)
    health.evaluate(samples([50, 55, 60, 300]), 2500)
    health.recordSuccess(slow)
    health.recordSuccess(slow)
    expect(health.evaluate(samples([50, 55, 60, 300]), 3600)).toMatchObject([{ endpoint: slow, state: 'ejected' }])
  })

  it('puts it aside for longer each time', () => {
    const health = new HealthMonitor()
    const slow = 'parts/east/3'
    health.evaluate(samples([50, 55, 60, 300]), 0)
    health.evaluate(samples([50, 55, 60, 300]), 2500)
    health.recordProbeFailure(slow, 2600)
    expect(health.evaluate(samples([50, 55, 60, 300]), 5000)).toEqual([])
    expect(health.evaluate(samples([50, 55, 60, 300]), 6700)).toMatchObject([{ state: 'probing' }])
  })

  it('never puts aside more than a third', () => {
    const health = new HealthMonitor()
    health.evaluate(samples([50, 50, 50, 50, 300, 300, 300, 300, 300].map((gap) => gap)), 0)
    const failing = samples(Array.from({ length: 9 }, () => 50)).map((sample) => ({ ...sample, failuresInRow: 9 }))
    health.evaluate(failing, 10)
    expect(failing.filter((sample) => health.state(sample.name) !== 'healthy').length).toBeLessThanOrEqual(3)
  })

  it('does not take a slow data centre for sick endpoints', () => {
    const health = new HealthMonitor()
    expect(health.evaluate([...samples([50, 52, 54, 51]), ...samples([300, 310, 320, 305], 'parts/west')], 0)).toEqual([])
  })

  it('puts one aside whose stream stood still, although its reports are fine', () => {
    const health = new HealthMonitor()
    health.recordStall('parts/east/1')
    expect(health.evaluate(samples([50, 50]), 0)).toMatchObject([{ endpoint: 'parts/east/1', state: 'ejected' }])
  })
})
