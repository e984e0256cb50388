/**
 * Which endpoints are weighed for one request. On a small fleet these are all. Weighing all of a large one took 5.4 ms for
 * 3,000 endpoints and 31 ms for 12,000, so that of those come only the few that the choice could fall on: some that keep the
 * prompt, the home of its subject, and a sample of the rest, half of it from the own data centre. Of 16 endpoints taken at
 * random the best is among the first tenth of all with a probability of 0.81, and reading a prompt anew costs more than
 * what lies between these. Twice as many in the sample took 1.7 times as long at 3,000 endpoints as weighing 36.
 */
import { canAccept, sharedPrefixIdOf, type ChoiceRequest } from './choose.ts'
import { type EndpointPool, type DataCentrePool } from './endpoint-pool.ts'
import { type EndpointState } from './endpoint-state.ts'
import { findAffinityEndpoint } from './affinity-ring.ts'
import { type PrefixHolders } from './prefix-holders.ts'
import { SortedList } from './sorted-list.ts'

/** Up to so many endpoints are all weighed: the users' fleets have up to 41, and 96 take 0.15 ms. */
export const SCORE_ALL_LIMIT = 96
/** So many that keep most of the prompt are weighed; what waits there tells between them. */
const KEEPERS = 8
/** So many of the rest come from the own data centre. */
const NEAR_SAMPLE = 8
/** And so many from all data centres. */
const FAR_SAMPLE = 8
/** For one that may have the request, so many are looked at. */
const LOOKS_PER_FOUND = 4
/** So many are looked at where none of those was found: on a fleet of which one in a hundred has room, one is found 9 times in 10. */
const LAST_LOOKS = 256

/** The endpoints among which a request is to go. */
export interface CandidateScope {
  pool: EndpointPool
  prefixHolders: PrefixHolders
  /** Whether anything may be sent to a data centre for the request; asked once for each. */
  isDataCentreAllowed: (dataCentre: string) => boolean
  /** Whether an endpoint may have the request, whatever it costs. */
  isAllowed: (endpoint: EndpointState) => boolean
  /** From 0 to 1. */
  random: () => number
}

export interface CandidateSet {
  endpoints: readonly EndpointState[]
  /** The home of the prompt's subject in each region; not given where all are weighed. */
  affinityEndpoints: readonly EndpointState[] | undefined
  /** From which parts of the prompt can be copied. */
  copySources: readonly EndpointState[]
}

/** Gives the endpoints to weigh for a request. */
export function selectCandidates (demand: ChoiceRequest, choosable: CandidateScope): CandidateSet {
  const places = [...choosable.pool.dataCentrePools].filter(({ dataCentre }) => choosable.isDataCentreAllowed(dataCentre))
  const count = places.reduce((sum, { members }) => sum + members.items.length, 0)
  return count <= SCORE_ALL_LIMIT ? allOf(choosable, places) : someOf(demand, choosable, places)
}

function allOf ({ pool, isAllowed }: CandidateScope, places: readonly DataCentrePool[]): CandidateSet {
  const allowed = new Set(places.map(({ dataCentre }) => dataCentre))
  const isWhole = allowed.size === [...pool.dataCentrePools].length
  const members = isWhole ? pool.members.items : bySeniority(places)
  const endpoints = members.filter(isAllowed)
  return { endpoints, affinityEndpoints: undefined, copySources: endpoints }
}

function bySeniority (places: readonly DataCentrePool[]): EndpointState[] {
  return places.flatMap(({ members }) => members.items).sort((left, right) => left.registrationOrder - right.registrationOrder)
}

function someOf (demand: ChoiceRequest, choosable: CandidateScope, places: readonly DataCentrePool[]): CandidateSet {
  const { pool, prefixHolders, random } = choosable
  const accepts = (endpoint: EndpointState) => isIn(pool, places, endpoint) && choosable.isAllowed(endpoint)
  const sources = [...prefixHolders.find({ prompt: demand.prompt, limit: KEEPERS, accepts, random })]
  const homes = byRegionOf(demand, places).flatMap((group) => homeOf(demand, choosable, group) ?? [])
  const found = new Set([...sources, ...homes].filter((endpoint) => canAccept(demand, endpoint)))
  new Sampler(demand, choosable, found).sampleAll(places)
  return { endpoints: [...found], affinityEndpoints: homes, copySources: sources }
}

/** The places of each region; all together where there is only one. */
function byRegionOf ({ regions }: ChoiceRequest, places: readonly DataCentrePool[]): DataCentrePool[][] {
  const groups = new Map<string, DataCentrePool[]>()
  for (const place of places) {
    const region = regions?.regionOf(place.dataCentre) ?? ''
    groups.set(region, [...groups.get(region) ?? [], place])
  }
  return [...groups.values()]
}

/** The home of a subject is among the reserved engines for a sensitive stream, and among the others for all else. */
function homeOf (demand: ChoiceRequest, { pool, isAllowed }: CandidateScope, places: readonly DataCentrePool[]): EndpointState | undefined {
  const subject = sharedPrefixIdOf(demand.prompt)
  if (subject === undefined) return undefined
  const { isPauseSensitive, reserved } = demand
  const rings = places.map(({ affinityRing }) => affinityRing)
  if (reserved.size === 0) return findAffinityEndpoint(subject, rings, isAllowed)
  const fits = (endpoint: EndpointState) => reserved.has(endpoint) === isPauseSensitive && isAllowed(endpoint)
  if (!isPauseSensitive || reserved.size > SCORE_ALL_LIMIT) return findAffinityEndpoint(subject, rings, fits)
  // Few among many would rarely be near a point of the ring.
  const ring = new SortedList<EndpointState>((endpoint) => endpoint.affinityPoint)
  for (const endpoint of reserved) if (isIn(pool, places, endpoint)) ring.add(endpoint)
  return findAffinityEndpoint(subject, [ring], isAllowed)
}

/** Whether an endpoint takes new work in one of some places. One that is gone may still be reserved or known to keep a part. */
function isIn (pool: EndpointPool, places: readonly DataCentrePool[], endpoint: EndpointState): boolean {
  const place = pool.dataCentrePoolOf(endpoint)
  return place !== undefined && places.includes(place)
}

/** Takes endpoints at random that may have a request and have room for it. */
class Sampler {
  constructor (
    private readonly demand: ChoiceRequest, private readonly choosable: CandidateScope, private readonly found: Set<EndpointState>
  ) {}

  sampleAll (places: readonly DataCentrePool[]): void {
    const { demand: { dataCentre, isPauseSensitive, reserved }, choosable: { pool }, found } = this
    const near = places.find((place) => place.dataCentre === dataCentre)
    if (near !== undefined) this.sample(near.members.items, near.members.items.length, NEAR_SAMPLE)
    if (isPauseSensitive && reserved.size > 0) this.sample(pool.byReservationRank.items, reserved.size, NEAR_SAMPLE, places)
    for (const { members: { items } } of places) this.sample(items, items.length, this.shareOf(items.length, places))
    if (found.size === 0) for (const { members: { items } } of places) this.sample(items, items.length, 1, places, LAST_LOOKS)
  }

  /** How many of the sample from all places are of a place with so many endpoints; the rounding is left to chance. */
  private shareOf (members: number, places: readonly DataCentrePool[]): number {
    const all = places.reduce((sum, place) => sum + place.members.items.length, 0)
    return Math.floor(FAR_SAMPLE * members / all + this.choosable.random())
  }

  /** Takes so many of the first `among` endpoints of a list. */
  private sample (
    list: readonly EndpointState[], among: number, count: number, within?: readonly DataCentrePool[], looks = LOOKS_PER_FOUND * count
  ): void {
    let left = count
    for (let look = 0; look < looks && left > 0; look += 1) {
      const endpoint = list[Math.floor(this.choosable.random() * Math.min(among, list.length))]
      if (endpoint === undefined || !this.mayHave(endpoint)) continue
      if (within !== undefined && !isIn(this.choosable.pool, within, endpoint)) continue
      this.found.add(endpoint)
      left -= 1
    }
  }

  private mayHave (endpoint: EndpointState): boolean {
    return !this.found.has(endpoint) && canAccept(this.demand, endpoint) && this.choosable.isAllowed(endpoint)
  }
}
