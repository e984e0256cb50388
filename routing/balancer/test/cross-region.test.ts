import { describe, expect, it } from 'vitest'
import {
  choose, EndpointState, RegionLink, ReservedEngines, scoreEndpoints, type ChoiceRequest, type PromptPart
} from '@gullwall/routing.balancer'

const LATER = 10_000
const SLOTS = 64
const SUBJECT: PromptPart = { id: 'subject', tokens: 8000 }
/** The costs of a request of usual size and of a large one over an idle link: 20 ms for the round trip and 20 for each kB. */
const SMALL_MS = 50
const LARGE_MS = 240
const regionOf = (dataCentre: string) => dataCentre[0] ?? ''
const request: ChoiceRequest = {
  prompt: [SUBJECT, { id: 'own', tokens: 500 }],
  dataCentre: 'n1',
  regions: { regionOf, crossRegionCostMs: SMALL_MS },
  tier: 1,
  isResumed: false,
  needsSlot: true,
  firstEventTargetMs: 2000,
  maxPauseMs: undefined,
  excluded: new Set(),
  copySources: [],
  isAffinityTrusted: false,
  isPauseSensitive: false,
  reserved: new Set()
}

function twoRegions (dataCentres = ['n1', 'n2', 'n3', 's1', 's2', 's3']): EndpointState[] {
  return dataCentres.map((dataCentre, index) => new EndpointState({
    incarnation: `i-${index}`, service: 'lm', address: `127.0.0.1:${9000 + index}`, dataCentre, slots: SLOTS
  }))
}

function isNorth ({ description }: EndpointState): boolean {
  return regionOf(description.dataCentre) === 'n'
}

/** Lets other entries have `running` requests in flight at an endpoint. */
function fill (endpoint: EndpointState, running: number): void {
  endpoint.othersLoad = { unread: [], running, strain: 0, sensitive: 0, unreachable: 0 }
}

describe('a request in a deployment of two regions', () => {
  it('stays in its region while that has room, even if the engines of the other region are idle', () => {
    const all = twoRegions()
    for (const endpoint of all.filter(isNorth)) fill(endpoint, 0.6 * SLOTS)
    for (let index = 0; index < 50; index += 1) {
      const prompt = [{ id: `subject-${index}`, tokens: 8000 }, { id: 'own', tokens: 500 }]
      const chosen = choose({ ...request, prompt }, all, LATER)
      expect(chosen?.endpoint).toSatisfy(isNorth)
      expect(chosen?.crossRegion).toBeUndefined()
    }
  })

  it('goes to the other region once the engines of its own are nearly full, and gives the reason', () => {
    const all = twoRegions()
    for (const endpoint of all.filter(isNorth)) fill(endpoint, 0.9 * SLOTS)
    const chosen = choose({ ...request, prompt: [{ id: 'own', tokens: 500 }] }, all, LATER)
    expect(chosen?.endpoint).not.toSatisfy(isNorth)
    expect(chosen?.crossRegion).toMatchObject({ region: 's', costMs: 300 + SMALL_MS })
    expect(chosen?.crossRegion?.localCost).toBeGreaterThan(chosen?.cost ?? Infinity)
  })

  it('goes to the other region if no engine of its own accepts it, unless the link has no capacity', () => {
    const all = twoRegions()
    for (const endpoint of all.filter(isNorth)) fill(endpoint, SLOTS)
    expect(choose(request, all, LATER)?.crossRegion).toMatchObject({ region: 's', localCost: undefined })
    expect(choose({ ...request, regions: { regionOf, crossRegionCostMs: undefined } }, all, LATER)).toBeUndefined()
  })

  it('goes to the other region earlier if it has fewer bytes', () => {
    const crossesFrom = (costMs: number) => Array.from({ length: SLOTS }, (_unused, running) => running).find((running) => {
      const all = twoRegions()
      for (const endpoint of all.filter(isNorth)) fill(endpoint, running)
      return choose({ ...request, prompt: [], regions: { regionOf, crossRegionCostMs: costMs } }, all, LATER)?.crossRegion !== undefined
    }) ?? Infinity
    expect(crossesFrom(SMALL_MS)).toBeGreaterThan(0.6 * SLOTS)
    expect(crossesFrom(SMALL_MS)).toBeLessThan(crossesFrom(LARGE_MS))
  })

  it('needs prefill of the shared parts in the other region, since they are not copied between regions', () => {
    const all = twoRegions()
    const [affinityEndpoint] = all
    affinityEndpoint?.prefixCache.record([SUBJECT], 0)
    const candidates = scoreEndpoints({ ...request, copySources: all }, all, LATER)
    for (const { endpoint, source, unreadTokens } of candidates.filter((candidate) => candidate.endpoint !== affinityEndpoint)) {
      expect([source, unreadTokens]).toEqual(isNorth(endpoint) ? [affinityEndpoint, 500] : [undefined, 8500])
    }
  })

  it('has one affinity endpoint in each region, whichever region it comes from', () => {
    const all = twoRegions()
    for (let index = 0; index < 50; index += 1) {
      const prompt = [{ id: `subject-${index}`, tokens: 8000 }, { id: 'own', tokens: 500 }]
      const affinityEndpointsFrom = (dataCentre: string) => scoreEndpoints({ ...request, prompt, dataCentre }, all, LATER)
        .filter(({ isAffinityEndpoint }) => isAffinityEndpoint).map(({ endpoint }) => endpoint)
      const affinityEndpoints = affinityEndpointsFrom('n1')
      expect(affinityEndpoints.map(isNorth).sort()).toEqual([false, true])
      expect(affinityEndpointsFrom('s2')).toEqual(affinityEndpoints)
    }
  })

  it('has the same costs in one region as without regions', () => {
    const all = twoRegions()
    const withoutRegions = scoreEndpoints({ ...request, regions: undefined }, all, LATER)
    expect(scoreEndpoints(
      { ...request, regions: { regionOf: () => 'one', crossRegionCostMs: undefined } }, all, LATER
    )).toEqual(withoutRegions)
    expect(withoutRegions.filter(({ isAffinityEndpoint }) => isAffinityEndpoint).length).toBe(1)
  })
})

it('a pause-sensitive stream does not go to another region because engines are reserved only there', () => {
  const all = twoRegions()
  const reserved = new Set(all.filter((endpoint) => !isNorth(endpoint)).slice(0, 1))
  const chosen = choose({ ...request, prompt: [{ id: 'own', tokens: 300 }], isPauseSensitive: true, reserved }, all, LATER)
  expect(chosen?.endpoint).toSatisfy(isNorth)
})

it('each region reserves engines for its own pause-sensitive streams', () => {
  const all = twoRegions()
  const busy = all.find(isNorth)
  if (busy === undefined) throw new Error('no engine')
  busy.othersLoad = { unread: [], running: 10, strain: 5, sensitive: 10, unreachable: 0 }
  const reserved = new ReservedEngines()
  reserved.update('lm', all, regionOf)
  expect([...reserved.get('lm')].map(isNorth)).toEqual([true])
})

describe('the link between two regions', () => {
  const ENTRIES = 10
  /** One entry's part, in bytes a second: half of the link of 40 Mbit/s, divided among ten entries. */
  const PART_BYTES_PER_S = 250_000
  let now = 0
  const link = () => new RegionLink({ mbitPerS: 40, entryCount: () => ENTRIES, countedSince: () => -Infinity, now: () => now })

  it('carries no more requests than their share of it', () => {
    const busy = link()
    const from = now
    let sent = 0
    for (; now < from + 10_000; now += 1) {
      for (const bytes of [1000, 9000, 50_000]) {
        if (busy.costMs(bytes) === undefined) continue
        busy.recordBytes(bytes)
        sent += bytes
      }
    }
    expect(sent).toBeLessThan(11 * PART_BYTES_PER_S)
    expect(sent).toBeGreaterThan(8 * PART_BYTES_PER_S)
  })

  // Each entry took the whole link right after its start: control had counted one entry, and what its predecessor sent was forgotten.
  it('carries no more requests than their share of it while all entries start again and again', () => {
    const COUNTED_WITHIN_MS = 500
    const LIFE_MS = 2500
    const from = now
    let sent = 0
    while (now < from + 4 * LIFE_MS) {
      const startedAt = now
      const entryCount = () => Math.min(ENTRIES, 1 + Math.floor(ENTRIES * (now - startedAt) / COUNTED_WITHIN_MS))
      const options = { mbitPerS: 40, entryCount, countedSince: () => startedAt, now: () => now }
      const links = Array.from({ length: ENTRIES }, () => new RegionLink(options))
      for (; now < startedAt + LIFE_MS; now += 1) {
        for (const each of links) {
          if (each.costMs(9000) === undefined) continue
          each.recordBytes(9000)
          sent += 9000
        }
      }
    }
    console.log(`${Math.round(sent / 1000)} kB over the link in four lives`)
    expect(sent).toBeLessThanOrEqual(4 * LIFE_MS / 1000 * ENTRIES * PART_BYTES_PER_S)
    expect(sent).toBeGreaterThan(0)
  })

  it('carries no request before control has counted the entries', () => {
    const unknown = new RegionLink({ mbitPerS: 40, entryCount: () => 1, countedSince: () => undefined, now: () => now })
    expect(unknown.costMs(1000)).toBeUndefined()
  })

  it('costs more as its budget is used up, and rejects large requests first', () => {
    const busy = link()
    const idleCost = busy.costMs(4000) ?? Infinity
    expect(busy.costMs(8000)).toBeGreaterThan(idleCost)
    busy.recordBytes(0.9 * PART_BYTES_PER_S)
    expect(busy.costMs(4000)).toBeGreaterThan(5 * idleCost)
    expect(busy.costMs(50_000)).toBeUndefined()
    now += 1000
    expect(busy.costMs(4000)).toBe(idleCost)
  })

  it('accepts a request larger than the whole budget while the budget is unused, and charges it to later requests', () => {
    const busy = link()
    expect(busy.costMs(2 * PART_BYTES_PER_S)).toBeGreaterThan(0)
    busy.recordBytes(2 * PART_BYTES_PER_S)
    now += 1500
    expect(busy.costMs(200_000)).toBeUndefined()
    now += 500
    expect(busy.costMs(200_000)).toBeGreaterThan(0)
  })

  it('includes the measured round trip in its cost', () => {
    const slow = link()
    const before = slow.costMs(1000) ?? 0
    for (let count = 0; count < 30; count += 1) slow.recordRoundTrip(120)
    expect(slow.costMs(1000)).toBeCloseTo(before + 100)
  })
})
