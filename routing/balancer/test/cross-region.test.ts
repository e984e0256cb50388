import { describe, expect, it } from 'vitest'
import { choose, EndpointState, RegionLink, ReservedEngines, scoreEndpoints, type ChoiceRequest, type PromptPart } from '@gullwall/routing.balancer'

const LATER = 10_000
const SLOTS = 64
const SUBJECT: PromptPart = { id: 'subject', tokens: 8000 }
/** Of usual size, over a link at rest: 20 ms for the round trip and 20 for each kB. */
const SMALL_MS = 50
const LARGE_MS = 240
const regionOf = (dataCentre: string) => dataCentre[0] ?? ''
const demand: ChoiceRequest = {
  prompt: [SUBJECT, { id: 'own', tokens: 500 }],
  dataCentre: 'n1',
  regions: { regionOf, crossRegionCostMs: SMALL_MS },
  tier: 1,
  isResumed: false,
  needsSlot: true,
  targetMs: 2000,
  maxPauseMs: undefined,
  excluded: new Set(),
  copySources: [],
  isAffinityTrusted: false,
  isPauseSensitive: false,
  reserved: new Set()
}

function fleet (dataCentres = ['n1', 'n2', 'n3', 's1', 's2', 's3']): EndpointState[] {
  return dataCentres.map((dataCentre, index) => new EndpointState({
    incarnation: `i-${index}`, service: 'lm', address: `127.0.0.1:${9000 + index}`, dataCentre, slots: SLOTS
  }))
}

function isNorth ({ description }: EndpointState): boolean {
  return regionOf(description.dataCentre) === 'n'
}

/** Other entries run so many requests there. */
function fill (endpoint: EndpointState, running: number): void {
  endpoint.othersLoad = { unread: [], running, strain: 0, sensitive: 0, unreachable: 0 }
}

describe('a request in a deployment of two regions', () => {
  it('stays in its region while that has room, also where the engines of the other are idle', () => {
    const all = fleet()
    for (const endpoint of all.filter(isNorth)) fill(endpoint, 0.6 * SLOTS)
    for (let index = 0; index < 50; index += 1) {
      const prompt = [{ id: `subject-${index}`, tokens: 8000 }, { id: 'own', tokens: 500 }]
      const chosen = choose({ ...demand, prompt }, all, LATER)
      expect(chosen?.endpoint).toSatisfy(isNorth)
      expect(chosen?.crossRegion).toBeUndefined()
    }
  })

  it('leaves it once its engines are nearly full, and tells why', () => {
    const all = fleet()
    for (const endpoint of all.filter(isNorth)) fill(endpoint, 0.9 * SLOTS)
    const chosen = choose({ ...demand, prompt: [{ id: 'own', tokens: 500 }] }, all, LATER)
    expect(chosen?.endpoint).not.toSatisfy(isNorth)
    expect(chosen?.crossRegion).toMatchObject({ region: 's', costMs: 300 + SMALL_MS })
    expect(chosen?.crossRegion?.localCost).toBeGreaterThan(chosen?.cost ?? Infinity)
  })

  it('leaves it where no engine there takes it, and not where the link has no room', () => {
    const all = fleet()
    for (const endpoint of all.filter(isNorth)) fill(endpoint, SLOTS)
    expect(choose(demand, all, LATER)?.crossRegion).toMatchObject({ region: 's', localCost: undefined })
    expect(choose({ ...demand, regions: { regionOf, crossRegionCostMs: undefined } }, all, LATER)).toBeUndefined()
  })

  it('leaves it the sooner the fewer bytes it is', () => {
    const crossesAt = (costMs: number) => Array.from({ length: SLOTS }, (_unused, running) => running).find((running) => {
      const all = fleet()
      for (const endpoint of all.filter(isNorth)) fill(endpoint, running)
      return choose({ ...demand, prompt: [], regions: { regionOf, crossRegionCostMs: costMs } }, all, LATER)?.crossRegion !== undefined
    }) ?? Infinity
    expect(crossesAt(SMALL_MS)).toBeGreaterThan(0.6 * SLOTS)
    expect(crossesAt(SMALL_MS)).toBeLessThan(crossesAt(LARGE_MS))
  })

  it('has the shared parts of its prompt read again in the other region rather than copied from its own', () => {
    const all = fleet()
    const [home] = all
    home?.prefixCache.record([SUBJECT], 0)
    const weighed = scoreEndpoints({ ...demand, copySources: all }, all, LATER)
    for (const { endpoint, source, unreadTokens } of weighed.filter((candidate) => candidate.endpoint !== home)) {
      expect([source, unreadTokens]).toEqual(isNorth(endpoint) ? [home, 500] : [undefined, 8500])
    }
  })

  it('finds one home of its prompt in each region, the same from wherever it comes', () => {
    const all = fleet()
    for (let index = 0; index < 50; index += 1) {
      const prompt = [{ id: `subject-${index}`, tokens: 8000 }, { id: 'own', tokens: 500 }]
      const homesFrom = (dataCentre: string) => scoreEndpoints({ ...demand, prompt, dataCentre }, all, LATER)
        .filter(({ isAffinityEndpoint }) => isAffinityEndpoint).map(({ endpoint }) => endpoint)
      const homes = homesFrom('n1')
      expect(homes.map(isNorth).sort()).toEqual([false, true])
      expect(homesFrom('s2')).toEqual(homes)
    }
  })

  it('weighs as ever where there is one region only', () => {
    const all = fleet()
    const everywhere = scoreEndpoints({ ...demand, regions: undefined }, all, LATER)
    expect(scoreEndpoints({ ...demand, regions: { regionOf: () => 'one', crossRegionCostMs: undefined } }, all, LATER)).toEqual(everywhere)
    expect(everywhere.filter(({ isAffinityEndpoint }) => isAffinityEndpoint).length).toBe(1)
  })
})

it('a sensitive stream does not leave for engines that only the other region reserves', () => {
  const all = fleet()
  const reserved = new Set(all.filter((endpoint) => !isNorth(endpoint)).slice(0, 1))
  const chosen = choose({ ...demand, prompt: [{ id: 'own', tokens: 300 }], isPauseSensitive: true, reserved }, all, LATER)
  expect(chosen?.endpoint).toSatisfy(isNorth)
})

it('each region reserves engines for its own sensitive streams', () => {
  const all = fleet()
  const busy = all.find(isNorth)
  if (busy === undefined) throw new Error('no engine')
  busy.othersLoad = { unread: [], running: 10, strain: 5, sensitive: 10, unreachable: 0 }
  const reserved = new ReservedEngines()
  reserved.update('lm', all, regionOf)
  expect([...reserved.get('lm')].map(isNorth)).toEqual([true])
})

describe('the link between two regions', () => {
  const ENTRIES = 10
  /** Half of the link of 40 Mbit/s, for ten entries. */
  const PART_BYTES_PER_S = 250_000
  let now = 0
  const link = () => new RegionLink({ mbitPerS: 40, entryCount: () => ENTRIES, now: () => now })

  it('takes no more of requests than their share, whatever is asked for', () => {
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

  it('grows dearer the less is left, and lets the small across for longest', () => {
    const busy = link()
    const atRest = busy.costMs(4000) ?? Infinity
    expect(busy.costMs(8000)).toBeGreaterThan(atRest)
    busy.recordBytes(0.9 * PART_BYTES_PER_S)
    expect(busy.costMs(4000)).toBeGreaterThan(5 * atRest)
    expect(busy.costMs(50_000)).toBeUndefined()
    now += 1000
    expect(busy.costMs(4000)).toBe(atRest)
  })

  it('takes what is larger than a whole part when nothing else crosses, and longer answers off what comes next', () => {
    const busy = link()
    expect(busy.costMs(2 * PART_BYTES_PER_S)).toBeGreaterThan(0)
    busy.recordBytes(2 * PART_BYTES_PER_S)
    now += 1500
    expect(busy.costMs(200_000)).toBeUndefined()
    now += 500
    expect(busy.costMs(200_000)).toBeGreaterThan(0)
  })

  it('costs what its round trips are measured to take', () => {
    const slow = link()
    const before = slow.costMs(1000) ?? 0
    for (let count = 0; count < 30; count += 1) slow.recordRoundTrip(120)
    expect(slow.costMs(1000)).toBeCloseTo(before + 100)
  })
})
