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

describe('engines that are kept free of long reads', () => {
  it('are as many as the sensitive streams need, half filled, and never more than half of all', () => {
    const all = engines(10)
    runSensitive(all[0], 40)
    expect(reservedWith(all).get(SERVICE).size).toBe(2)
    runSensitive(all[1], 500)
    expect(reservedWith(all).get(SERVICE).size).toBe(5)
  })

  it('are none where nothing sensitive runs, where engines are few, and where they do not tell their slots', () => {
    const all = engines(10)
    expect(reservedWith(all).get(SERVICE).size).toBe(0)
    const few = engines(2)
    runSensitive(few[0], 40)
    expect(reservedWith(few).get(SERVICE).size).toBe(0)
  })

  it('are the same for every entry, whatever the order in which it learnt of them', () => {
    const all = engines(10)
    runSensitive(all[0], 90)
    const names = (of: Iterable<EndpointState>) => [...of].map(({ description }) => description.incarnation).sort()
    expect(names(reservedWith(all).get(SERVICE))).toEqual(names(reservedWith([...all].reverse()).get(SERVICE)))
  })

  it('stay for a while when sensitive streams become fewer', () => {
    const all = engines(10)
    runSensitive(all[0], 90)
    const reserved = reservedWith(all)
    all[0]?.inFlightRequests.clear()
    reserved.update(SERVICE, all)
    expect(reserved.get(SERVICE).size).toBe(3)
    for (let update = 0; update < 400; update += 1) reserved.update(SERVICE, all)
    expect(reserved.get(SERVICE).size).toBe(0)
  })

  it('are for streams that bear short pauses and read little, not for long readers', () => {
    const reserved = reservedWith(engines(10))
    expect(reserved.isPauseSensitive(SHORT, SERVICE)).toBe(true)
    expect(reserved.isPauseSensitive(LONG, SERVICE)).toBe(false)
    expect(reserved.isPauseSensitive({ route: 'reader', maxPauseMs: 300 }, SERVICE)).toBe(false)
    expect(reserved.isPauseSensitive({ route: 'unknown', maxPauseMs: 300 }, SERVICE)).toBe(false)
  })

  it('keep nothing of routes and services that the document has dropped', () => {
    const reserved = reservedWith(engines(10))
    reserved.keepOnly({ routes: new Set(['short']), services: new Set([SERVICE]) })
    expect(reserved.routeCount).toBe(1)
    expect(reserved.isPauseSensitive(SHORT, SERVICE)).toBe(true)
    reserved.keepOnly({ routes: new Set(['short']), services: new Set() })
    expect(reserved.isPauseSensitive(SHORT, SERVICE)).toBe(false)
  })

  it('take sensitive streams, also where others read nothing, and other prompts only when the rest are far behind', () => {
    const all = engines(4)
    const reserved = new Set(all.slice(0, 1))
    const demand: ChoiceRequest = {
      prompt: [{ id: 'own', tokens: 900 }],
      dataCentre: 'dc1',
      tier: 1,
      isResumed: false,
      needsSlot: true,
      targetMs: 2000,
      maxPauseMs: 300,
      excluded: new Set(),
      copySources: [],
      isAffinityTrusted: false,
      isPauseSensitive: true,
      reserved
    }
    expect(choose(demand, all, LATER)?.endpoint).toBe(all[0])
    const other: ChoiceRequest = { ...demand, isPauseSensitive: false, maxPauseMs: 1200 }
    expect(choose(other, all, LATER)?.endpoint).not.toBe(all[0])
    for (const engine of all.slice(1)) {
      engine.begin({ prompt: [], unreadTokens: 200_000, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, LATER)
    }
    expect(choose(other, all, LATER)?.endpoint).toBe(all[0])
  })
})
