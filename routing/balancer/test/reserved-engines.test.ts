import { describe, expect, it } from 'vitest'
import { choose, EndpointState, ReservedEngines, type ChoiceRequest, type StreamKind } from '@gullwall/routing.balancer'

const SERVICE = 'lm'
const LATER = 10_000
const SHORT: StreamKind = { route: 'short', maxPauseMs: 300 }
const LONG: StreamKind = { route: 'long', maxPauseMs: 1200 }

function engines (count: number): EndpointState[] {
  return Array.from({ length: count }, (_, index) => new EndpointState({
    incarnation: `i-${index}`, service: SERVICE, address: `127.0.0.1:${9000 + index}`, dataCentre: 'dc1', slots: 64
  }))
}

function runSensitive (engine: EndpointState | undefined, count: number): void {
  for (let stream = 0; stream < count; stream += 1) {
    engine?.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0.3, isPauseSensitive: true }, LATER)
  }
}

function reservedWith (all: readonly EndpointState[]): ReservedEngines {
  const reserved = new ReservedEngines()
  for (let request = 0; request < 100; request += 1) {
    reserved.recordRequest(SHORT, 1100)
    reserved.recordRequest(LONG, 3700)
    reserved.recordRequest({ route: 'reader' }, 2900)
  }
  reserved.update(SERVICE, all)
  return reserved
}

describe('reserved engines', () => {
  it('are as many as the pause-sensitive streams fill by half, and at most half of all engines', () => {
    const all = engines(10)
    runSensitive(all[0], 40)
    expect(reservedWith(all).get(SERVICE).size).toBe(2)
    runSensitive(all[1], 500)
    expect(reservedWith(all).get(SERVICE).size).toBe(5)
  })

  it('are none without pause-sensitive streams, or with too few engines', () => {
    const all = engines(10)
    expect(reservedWith(all).get(SERVICE).size).toBe(0)
    const few = engines(2)
    runSensitive(few[0], 40)
    expect(reservedWith(few).get(SERVICE).size).toBe(0)
  })

  it('are the same for entries that received the engines in different orders', () => {
    const all = engines(10)
    runSensitive(all[0], 90)
    const names = (of: Iterable<EndpointState>) => [...of].map(({ description }) => description.incarnation).sort()
    expect(names(reservedWith(all).get(SERVICE))).toEqual(names(reservedWith([...all].reverse()).get(SERVICE)))
  })

  it('decrease slowly when pause-sensitive streams end', () => {
    const all = engines(10)
    runSensitive(all[0], 90)
    const reserved = reservedWith(all)
    all[0]?.inFlightRequests.clear()
    reserved.update(SERVICE, all)
    expect(reserved.get(SERVICE).size).toBe(3)
    for (let update = 0; update < 400; update += 1) reserved.update(SERVICE, all)
    expect(reserved.get(SERVICE).size).toBe(0)
  })

  it('are for streams with a short limit for pauses and little prefill', () => {
    const reserved = reservedWith(engines(10))
    expect(reserved.isPauseSensitive(SHORT, SERVICE)).toBe(true)
    expect(reserved.isPauseSensitive(LONG, SERVICE)).toBe(false)
    expect(reserved.isPauseSensitive({ route: 'reader', maxPauseMs: 300 }, SERVICE)).toBe(false)
    expect(reserved.isPauseSensitive({ route: 'unknown', maxPauseMs: 300 }, SERVICE)).toBe(false)
  })

  it('store nothing about routes and services that the document no longer has', () => {
    const reserved = reservedWith(engines(10))
    reserved.keepOnly({ routes: new Set(['short']), services: new Set([SERVICE]) })
    expect(reserved.routeCount).toBe(1)
    expect(reserved.isPauseSensitive(SHORT, SERVICE)).toBe(true)
    reserved.keepOnly({ routes: new Set(['short']), services: new Set() })
    expect(reserved.isPauseSensitive(SHORT, SERVICE)).toBe(false)
  })

  it('are preferred by pause-sensitive streams, and used by other requests only if all other engines have long backlogs', () => {
    const all = engines(4)
    const reserved = new Set(all.slice(0, 1))
    const request: ChoiceRequest = {
      prompt: [{ id: 'own', tokens: 900 }],
      dataCentre: 'dc1',
      tier: 1,
      isResumed: false,
      needsSlot: true,
      firstEventTargetMs: 2000,
      maxPauseMs: 300,
      excluded: new Set(),
      copySources: [],
      isAffinityTrusted: false,
      isPauseSensitive: true,
      reserved
    }
    expect(choose(request, all, LATER)?.endpoint).toBe(all[0])
    const other: ChoiceRequest = { ...request, isPauseSensitive: false, maxPauseMs: 1200 }
    expect(choose(other, all, LATER)?.endpoint).not.toBe(all[0])
    for (const engine of all.slice(1)) {
      engine.begin({ prompt: [], unreadTokens: 200_000, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, LATER)
    }
    expect(choose(other, all, LATER)?.endpoint).toBe(all[0])
  })
})
