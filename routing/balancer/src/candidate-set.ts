/**
 * Selects the endpoints that are scored for one request: all endpoints of a small fleet. Scoring all of a large fleet takes too long
 * (31 ms for 12,000 endpoints). There, only some endpoints with the prompt cached, the affinity endpoint and a random sample of the
 * others are scored, half of the sample from the entry's data centre. The best of 16 random endpoints is in the top tenth with a
 * probability of 0.81, and the remaining difference in cost is smaller than the prefill of a prompt.
 */
import { mayHave, subjectOf, type Demand } from './choose.ts'
import { type EndpointPool, type PlacePool } from './endpoint-pool.ts'
import { type EndpointState } from './endpoint-state.ts'
import { homeOnRings } from './home-ring.ts'
import { type Keepers } from './keepers.ts'
import { SortedList } from './sorted-list.ts'

/** A fleet of at most this many endpoints is scored completely; that takes 0.15 ms for 96. */
export const WEIGH_ALL_UP_TO = 96
/** The number of endpoints with the longest cached prefix to score; the load decides between them. */
const PREFIX_HOLDERS = 8
/** The sample size from the entry's data centre. */
const LOCAL_SAMPLE = 8
/** The sample size from all data centres. */
const GLOBAL_SAMPLE = 8
/** The number of random draws for each endpoint of a sample, since some can't accept the request. */
const DRAWS_PER_ENDPOINT = 4
/** The number of draws per data centre if nothing was found. If 1 % of the endpoints have room, 9 of 10 searches succeed. */
const FALLBACK_DRAWS = 256

/** The endpoints that a request can choose from, and the rules that exclude some of them. */
export interface Choosable {
  pool: EndpointPool
  keepers: Keepers
  /** Whether the request may be sent to a data centre; called once for each data centre. */
  mayGoTo: (dataCentre: string) => boolean
  /** Whether the request may be sent to an endpoint. */
  accepts: (endpoint: EndpointState) => boolean
  /** Returns a random number from 0 to 1. */
  random: () => number
}

export interface CandidateSet {
  endpoints: readonly EndpointState[]
  /** The affinity endpoint of the prompt in each region; undefined if all endpoints are scored. */
  homes: readonly EndpointState[] | undefined
  /** Endpoints from which parts of the prompt can be copied. */
  sources: readonly EndpointState[]
}

/** Returns the endpoints to score for a request. */
export function candidateSet (demand: Demand, choosable: Choosable): CandidateSet {
  const places = [...choosable.pool.places].filter(({ dataCentre }) => choosable.mayGoTo(dataCentre))
  const count = places.reduce((sum, { members }) => sum + members.items.length, 0)
  return count <= WEIGH_ALL_UP_TO ? allCandidates(choosable, places) : sampledCandidates(demand, choosable, places)
}

function allCandidates ({ pool, accepts }: Choosable, places: readonly PlacePool[]): CandidateSet {
  const allowed = new Set(places.map(({ dataCentre }) => dataCentre))
  const isWhole = allowed.size === [...pool.places].length
  const members = isWhole ? pool.members.items : bySeniority(places)
  const endpoints = members.filter(accepts)
  return { endpoints, homes: undefined, sources: endpoints }
}

function bySeniority (places: readonly PlacePool[]): EndpointState[] {
  return places.flatMap(({ members }) => members.items).sort((left, right) => left.seniority - right.seniority)
}

function sampledCandidates (demand: Demand, choosable: Choosable, places: readonly PlacePool[]): CandidateSet {
  const { pool, keepers, random } = choosable
  const accepts = (endpoint: EndpointState) => isInPools(pool, places, endpoint) && choosable.accepts(endpoint)
  const sources = [...keepers.of({ prompt: demand.prompt, most: PREFIX_HOLDERS, accepts, random })]
  const homes = groupPoolsByRegion(demand, places).flatMap((group) => homeOf(demand, choosable, group) ?? [])
  const found = new Set([...sources, ...homes].filter((endpoint) => mayHave(demand, endpoint)))
  new Sampler(demand, choosable, found).sampleAll(places)
  return { endpoints: [...found], homes, sources }
}

/** Groups data centre pools by region; there is one group if the deployment has one region. */
function groupPoolsByRegion ({ crossing }: Demand, places: readonly PlacePool[]): PlacePool[][] {
  const groups = new Map<string, PlacePool[]>()
  for (const place of places) {
    const region = crossing?.regionOf(place.dataCentre) ?? ''
    groups.set(region, [...groups.get(region) ?? [], place])
  }
  return [...groups.values()]
}

/** Returns the affinity endpoint: a reserved engine for a pause-sensitive stream, another engine for any other request. */
function homeOf (demand: Demand, { pool, accepts }: Choosable, places: readonly PlacePool[]): EndpointState | undefined {
  const subject = subjectOf(demand.prompt)
  if (subject === undefined) return undefined
  const { isSensitive, reserved } = demand
  const rings = places.map(({ ring }) => ring)
  if (reserved.size === 0) return homeOnRings(subject, rings, accepts)
  const fits = (endpoint: EndpointState) => reserved.has(endpoint) === isSensitive && accepts(endpoint)
  if (!isSensitive || reserved.size > WEIGH_ALL_UP_TO) return homeOnRings(subject, rings, fits)
  // A few reserved engines among many endpoints would rarely be near the point on the common ring.
  const ring = new SortedList<EndpointState>((endpoint) => endpoint.homePoint)
  for (const endpoint of reserved) if (isInPools(pool, places, endpoint)) ring.add(endpoint)
  return homeOnRings(subject, [ring], accepts)
}

/** Whether an endpoint is in one of some data centre pools. A removed endpoint may still be reserved or listed as prefix holder. */
function isInPools (pool: EndpointPool, places: readonly PlacePool[], endpoint: EndpointState): boolean {
  const place = pool.placeOf(endpoint)
  return place !== undefined && places.includes(place)
}

/** Adds random endpoints that can accept a request to the candidates. */
class Sampler {
  constructor (
    private readonly demand: Demand, private readonly choosable: Choosable, private readonly found: Set<EndpointState>
  ) {}

  sampleAll (places: readonly PlacePool[]): void {
    const { demand: { dataCentre, isSensitive, reserved }, choosable: { pool }, found } = this
    const local = places.find((place) => place.dataCentre === dataCentre)
    if (local !== undefined) this.sample(local.members.items, local.members.items.length, LOCAL_SAMPLE)
    if (isSensitive && reserved.size > 0) this.sample(pool.byRank.items, reserved.size, LOCAL_SAMPLE, places)
    for (const { members: { items } } of places) this.sample(items, items.length, this.shareOf(items.length, places))
    if (found.size === 0) for (const { members: { items } } of places) this.sample(items, items.length, 1, places, FALLBACK_DRAWS)
  }

  /** Returns the sample size for a data centre with some number of endpoints, in proportion to all; it is rounded at random. */
  private shareOf (members: number, places: readonly PlacePool[]): number {
    const all = places.reduce((sum, place) => sum + place.members.items.length, 0)
    return Math.floor(GLOBAL_SAMPLE * members / all + this.choosable.random())
  }

  /** Adds up to `count` of the first `among` endpoints of a list. */
  private sample (
    list: readonly EndpointState[], among: number, count: number, within?: readonly PlacePool[], draws = DRAWS_PER_ENDPOINT * count
  ): void {
    let missing = count
    for (let draw = 0; draw < draws && missing > 0; draw += 1) {
      const endpoint = list[Math.floor(this.choosable.random() * Math.min(among, list.length))]
      if (endpoint === undefined || !this.isSelectable(endpoint)) continue
      if (within !== undefined && !isInPools(this.choosable.pool, within, endpoint)) continue
      this.found.add(endpoint)
      missing -= 1
    }
  }

  private isSelectable (endpoint: EndpointState): boolean {
    return !this.found.has(endpoint) && mayHave(this.demand, endpoint) && this.choosable.accepts(endpoint)
  }
}
