import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ReservedEngines, type EndpointState } from '@gullwall/routing.balancer'
import { EndpointFixture, LATER, SERVICE } from './endpoint-fixture.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 12)
const SIZE = 12
const PREFIXES = 6

type Step = { type: 'usable', index: number, isUsable: boolean } | { type: 'move', index: number, to: number } |
  { type: 'record', index: number, prefix: number } | { type: 'ended', index: number } | { type: 'forget', index: number }

const index = fc.integer({ min: 0, max: SIZE - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('usable' as const), index, isUsable: fc.boolean() }),
  fc.record({ type: fc.constant('move' as const), index, to: fc.integer({ min: 0, max: 3 }) }),
  fc.record({ type: fc.constant('record' as const), index, prefix: fc.integer({ min: 0, max: PREFIXES - 1 }) }),
  fc.record({ type: fc.constant('ended' as const), index }),
  fc.record({ type: fc.constant('forget' as const), index })
)

/** A prompt of such a length that an endpoint can cache three of them. */
const promptOf = (prefix: number) => [{ id: `s-${prefix}`, tokens: 60_000 }]

/** Tests compare names: printing a difference between endpoint objects would take minutes. */
const namesOf = (endpoints: Iterable<EndpointState>) => [...endpoints].map(({ description }) => description.incarnation)

function apply (fleet: EndpointFixture, usable: Set<EndpointState>, taken: Step): void {
  const endpoint = fleet.endpoints[taken.index]
  if (endpoint === undefined) return
  if (taken.type === 'record') endpoint.prefixCache.record(promptOf(taken.prefix), 0)
  if (taken.type === 'forget') fleet.index.forget(endpoint)
  if (taken.type === 'ended') {
    endpoint.end(endpoint.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0), 'ended', 0)
  }
  if (taken.type === 'move') {
    endpoint.description = { ...endpoint.description, dataCentre: `dc${taken.to}` }
    fleet.index.setUsable(endpoint, usable.has(endpoint))
  }
  if (taken.type === 'usable') fleet.index.setUsable(endpoint, taken.isUsable)
  const isUsable = taken.type === 'usable' ? taken.isUsable : usable.has(endpoint) && taken.type !== 'ended' && taken.type !== 'forget'
  if (isUsable) usable.add(endpoint)
  else usable.delete(endpoint)
}

describe('the index of endpoints', () => {
  it('has the same contents as a scan of all endpoints, after any changes', () => {
    console.log(`seed ${SEED}`)
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const fleet = new EndpointFixture(SIZE, 1)
      const usable = new Set(fleet.endpoints)
      for (const taken of steps) apply(fleet, usable, taken)
      const pool = fleet.index.pool(SERVICE)
      expect(namesOf(pool.members.items)).toEqual(namesOf(fleet.endpoints.filter((endpoint) => usable.has(endpoint))))
      for (const { dataCentre, members, affinityRing } of pool.dataCentrePools) {
        const there = pool.members.items.filter(({ description }) => description.dataCentre === dataCentre)
        expect(namesOf(members.items)).toEqual(namesOf(there))
        expect(namesOf(affinityRing.items)).toEqual(namesOf([...there].sort((left, right) => left.affinityPoint - right.affinityPoint)))
      }
      for (let prefix = 0; prefix < PREFIXES; prefix += 1) {
        const prompt = promptOf(prefix)
        const holders = fleet.index.prefixHolders.find({ prompt, limit: SIZE, isAllowed: () => true, random: () => 0 })
        expect(namesOf(holders).sort()).toEqual(
          namesOf(fleet.endpoints.filter(({ prefixCache }) => prefixCache.cachedTokens(prompt) > 0)).sort()
        )
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('reserves the same engines of a large fleet as a scan of all of them', () => {
    const fleet = new EndpointFixture(300, SEED)
    const pool = fleet.index.pool(SERVICE)
    const [removed, ...others] = fleet.endpoints
    for (const endpoint of others.slice(0, 90)) {
      endpoint.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0.3, isPauseSensitive: true }, LATER)
      endpoint.prefill.learnPause(250)
      fleet.index.updateTotals(endpoint)
    }
    if (removed !== undefined) fleet.index.setUsable(removed, false)
    const [indexed, scanned] = [new ReservedEngines(), new ReservedEngines()]
    indexed.updateFromPool(SERVICE, pool)
    scanned.update(SERVICE, others)
    expect(scanned.get(SERVICE).size).toBe(3)
    expect(namesOf(indexed.get(SERVICE))).toEqual(namesOf(scanned.get(SERVICE)))
    indexed.updateFromPool(SERVICE, pool)
    expect(namesOf(indexed.get(SERVICE))).toEqual(namesOf(scanned.get(SERVICE)))
    const [first] = indexed.get(SERVICE)
    if (first !== undefined) fleet.index.setUsable(first, false)
    indexed.updateFromPool(SERVICE, pool)
    expect(first !== undefined && indexed.get(SERVICE).has(first)).toBe(false)
  })
})
