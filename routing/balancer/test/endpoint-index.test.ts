import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ReservedEngines, type EndpointState } from '@gullwall/routing.balancer'
import { Fleet, LATER, SERVICE } from './endpoint-fixture.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 12)
const SIZE = 12
const SUBJECTS = 6

type Step = { type: 'usable', index: number, isUsable: boolean } | { type: 'move', index: number, to: number } |
  { type: 'note', index: number, subject: number } | { type: 'ended', index: number } | { type: 'forget', index: number }

const index = fc.integer({ min: 0, max: SIZE - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('usable' as const), index, isUsable: fc.boolean() }),
  fc.record({ type: fc.constant('move' as const), index, to: fc.integer({ min: 0, max: 3 }) }),
  fc.record({ type: fc.constant('note' as const), index, subject: fc.integer({ min: 0, max: SUBJECTS - 1 }) }),
  fc.record({ type: fc.constant('ended' as const), index }),
  fc.record({ type: fc.constant('forget' as const), index })
)

/** A subject of which three fill what an endpoint keeps. */
const promptOf = (subject: number) => [{ id: `s-${subject}`, tokens: 60_000 }]

/** A difference between endpoints themselves would take minutes to print. */
const namesOf = (endpoints: Iterable<EndpointState>) => [...endpoints].map(({ description }) => description.incarnation)

function apply (fleet: Fleet, usable: Set<EndpointState>, taken: Step): void {
  const endpoint = fleet.endpoints[taken.index]
  if (endpoint === undefined) return
  if (taken.type === 'note') endpoint.prefixCache.record(promptOf(taken.subject), 0)
  if (taken.type === 'forget') fleet.index.forget(endpoint)
  if (taken.type === 'ended') endpoint.end(endpoint.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0), 'ended', 0)
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
  it('holds what asking each endpoint would give, after any changes', () => {
    console.log(`seed ${SEED}`)
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const fleet = new Fleet(SIZE, 1)
      const usable = new Set(fleet.endpoints)
      for (const taken of steps) apply(fleet, usable, taken)
      const pool = fleet.index.pool(SERVICE)
      expect(namesOf(pool.members.items)).toEqual(namesOf(fleet.endpoints.filter((endpoint) => usable.has(endpoint))))
      for (const { dataCentre, members, affinityRing } of pool.dataCentrePools) {
        const there = pool.members.items.filter(({ description }) => description.dataCentre === dataCentre)
        expect(namesOf(members.items)).toEqual(namesOf(there))
        expect(namesOf(affinityRing.items)).toEqual(namesOf([...there].sort((left, right) => left.affinityPoint - right.affinityPoint)))
      }
      for (let subject = 0; subject < SUBJECTS; subject += 1) {
        const prompt = promptOf(subject)
        const keepers = fleet.index.prefixHolders.find({ prompt, limit: SIZE, accepts: () => true, random: () => 0 })
        expect(namesOf(keepers).sort()).toEqual(
          namesOf(fleet.endpoints.filter(({ prefixCache }) => prefixCache.cachedTokens(prompt) > 0)).sort()
        )
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('reserves the same engines of a large fleet as going through all of them', () => {
    const fleet = new Fleet(300, SEED)
    const pool = fleet.index.pool(SERVICE)
    const [gone, ...rest] = fleet.endpoints
    for (const endpoint of rest.slice(0, 90)) {
      endpoint.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0.3, isPauseSensitive: true }, LATER)
      endpoint.prefill.learnPause(250)
      fleet.index.updateTotals(endpoint)
    }
    if (gone !== undefined) fleet.index.setUsable(gone, false)
    const [kept, through] = [new ReservedEngines(), new ReservedEngines()]
    kept.updateFromPool(SERVICE, pool)
    through.update(SERVICE, rest)
    expect(through.get(SERVICE).size).toBe(3)
    expect(namesOf(kept.get(SERVICE))).toEqual(namesOf(through.get(SERVICE)))
    kept.updateFromPool(SERVICE, pool)
    expect(namesOf(kept.get(SERVICE))).toEqual(namesOf(through.get(SERVICE)))
    const [first] = kept.get(SERVICE)
    if (first !== undefined) fleet.index.setUsable(first, false)
    kept.updateFromPool(SERVICE, pool)
    expect(first !== undefined && kept.get(SERVICE).has(first)).toBe(false)
  })
})
