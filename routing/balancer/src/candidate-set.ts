/**
 * Selects the endpoints that are scored for one request: all endpoints of a small fleet. Scoring all of a large fleet takes too long
 * (5.4 ms for 3,000 endpoints, 31 ms for 12,000). There, only some endpoints with the prompt cached, the affinity endpoint and a random
 * sample of the others are scored, half of the sample from the entry's data centre. The best of 16 random endpoints is in the top tenth
 * with a probability of 0.81, and the remaining difference in cost is smaller than the prefill of a prompt.
 */
import { canAccept, sharedPrefixIdOf, type ChoiceRequest } from './choose.ts'
import { type EndpointPool, type DataCentrePool } from './endpoint-pool.ts'
import { type EndpointState } from './endpoint-state.ts'
import { findAffinityEndpoint } from './affinity-ring.ts'
import { type PrefixHolders } from './prefix-holders.ts'
import { SortedList } from './sorted-list.ts'

/** A fleet of at most this many endpoints is scored completely; that takes 0.15 ms for 96. */
export const SCORE_ALL_LIMIT = 96
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
export interface CandidateScope {
  pool: EndpointPool
  prefixHolders: PrefixHolders
  /** Whether the request may be sent to a data centre; called once for each data centre. */
  isDataCentreAllowed: (dataCentre: string) => boolean
  /** Whether the request may be sent to an endpoint. */
  isAllowed: (endpoint: EndpointState) => boolean
  /** Whether `isAllowed` may hold for a few endpoints only, which a sample would miss. */
  isSelective?: boolean
  /** Returns a random number from 0 to 1. */
  random: () => number
}

export interface CandidateSet {
  endpoints: readonly EndpointState[]
  /** The affinity endpoint of the prompt in each region; undefined if all endpoints are scored. */
  affinityEndpoints: readonly EndpointState[] | undefined
  /** Endpoints from which parts of the prompt can be copied. */
  copySources: readonly EndpointState[]
}

/** Returns the endpoints to score for a request. */
export function selectCandidates (request: ChoiceRequest, scope: CandidateScope): CandidateSet {
  const pools = [...scope.pool.dataCentrePools].filter(({ dataCentre }) => scope.isDataCentreAllowed(dataCentre))
  const count = pools.reduce((sum, { members }) => sum + members.items.length, 0)
  if (count <= SCORE_ALL_LIMIT) return allCandidates(scope, pools)
  return (scope.isSelective === true ? fewCandidates(scope, pools) : undefined) ?? sampledCandidates(request, scope, pools)
}

/** Returns all endpoints that are allowed if they are few; undefined otherwise. */
function fewCandidates ({ isAllowed }: CandidateScope, pools: readonly DataCentrePool[]): CandidateSet | undefined {
  const endpoints: EndpointState[] = []
  for (const { members: { items } } of pools) {
    for (const endpoint of items) {
      if (!isAllowed(endpoint)) continue
      endpoints.push(endpoint)
      if (endpoints.length > SCORE_ALL_LIMIT) return undefined
    }
  }
  return { endpoints, affinityEndpoints: undefined, copySources: endpoints }
}

function allCandidates ({ pool, isAllowed }: CandidateScope, pools: readonly DataCentrePool[]): CandidateSet {
  const allowed = new Set(pools.map(({ dataCentre }) => dataCentre))
  const isWhole = allowed.size === [...pool.dataCentrePools].length
  const members = isWhole ? pool.members.items : byRegistrationOrder(pools)
  const endpoints = members.filter(isAllowed)
  return { endpoints, affinityEndpoints: undefined, copySources: endpoints }
}

function byRegistrationOrder (pools: readonly DataCentrePool[]): EndpointState[] {
  return pools.flatMap(({ members }) => members.items).sort((left, right) => left.registrationOrder - right.registrationOrder)
}

function sampledCandidates (request: ChoiceRequest, scope: CandidateScope, pools: readonly DataCentrePool[]): CandidateSet {
  const { pool, prefixHolders, random } = scope
  const isAllowed = (endpoint: EndpointState) => isInPools(pool, pools, endpoint) && scope.isAllowed(endpoint)
  const copySources = [...prefixHolders.find({ prompt: request.prompt, limit: PREFIX_HOLDERS, isAllowed, random })]
  const affinityEndpoints = groupPoolsByRegion(request, pools).flatMap((group) => selectAffinityEndpoint(request, scope, group) ?? [])
  const found = new Set([...copySources, ...affinityEndpoints].filter((endpoint) => canAccept(request, endpoint)))
  new Sampler(request, scope, found).sampleAll(pools)
  return { endpoints: [...found], affinityEndpoints, copySources }
}

/** Groups data centre pools by region; there is one group if the deployment has one region. */
function groupPoolsByRegion ({ regions }: ChoiceRequest, pools: readonly DataCentrePool[]): DataCentrePool[][] {
  const groups = new Map<string, DataCentrePool[]>()
  for (const dataCentrePool of pools) {
    const region = regions?.regionOf(dataCentrePool.dataCentre) ?? ''
    groups.set(region, [...groups.get(region) ?? [], dataCentrePool])
  }
  return [...groups.values()]
}

/** Returns the affinity endpoint: a reserved engine for a pause-sensitive stream, another engine for any other request. */
function selectAffinityEndpoint (
  request: ChoiceRequest, { pool, isAllowed }: CandidateScope, pools: readonly DataCentrePool[]
): EndpointState | undefined {
  const sharedPrefixId = sharedPrefixIdOf(request.prompt)
  if (sharedPrefixId === undefined) return undefined
  const { isPauseSensitive, reserved } = request
  const rings = pools.map(({ affinityRing }) => affinityRing)
  if (reserved.size === 0) return findAffinityEndpoint(sharedPrefixId, rings, isAllowed)
  const isCandidate = (endpoint: EndpointState) => reserved.has(endpoint) === isPauseSensitive && isAllowed(endpoint)
  if (!isPauseSensitive || reserved.size > SCORE_ALL_LIMIT) return findAffinityEndpoint(sharedPrefixId, rings, isCandidate)
  // A few reserved engines among many endpoints would rarely be near the point on the common ring.
  const ring = new SortedList<EndpointState>((endpoint) => endpoint.affinityPoint)
  for (const endpoint of reserved) if (isInPools(pool, pools, endpoint)) ring.add(endpoint)
  return findAffinityEndpoint(sharedPrefixId, [ring], isAllowed)
}

/** Whether an endpoint is in one of some data centre pools. A removed endpoint may still be reserved or listed as prefix holder. */
function isInPools (pool: EndpointPool, pools: readonly DataCentrePool[], endpoint: EndpointState): boolean {
  const dataCentrePool = pool.dataCentrePoolOf(endpoint)
  return dataCentrePool !== undefined && pools.includes(dataCentrePool)
}

/** Adds random endpoints that can accept a request to the candidates. */
class Sampler {
  constructor (
    private readonly request: ChoiceRequest, private readonly scope: CandidateScope, private readonly found: Set<EndpointState>
  ) {}

  sampleAll (pools: readonly DataCentrePool[]): void {
    const { request: { dataCentre, isPauseSensitive, reserved }, scope: { pool }, found } = this
    const local = pools.find((dataCentrePool) => dataCentrePool.dataCentre === dataCentre)
    if (local !== undefined) this.sample(local.members.items, local.members.items.length, LOCAL_SAMPLE)
    if (isPauseSensitive && reserved.size > 0) this.sample(pool.byReservationRank.items, reserved.size, LOCAL_SAMPLE, pools)
    for (const { members: { items } } of pools) this.sample(items, items.length, this.sampleSizeOf(items.length, pools))
    if (found.size === 0) for (const { members: { items } } of pools) this.sample(items, items.length, 1, pools, FALLBACK_DRAWS)
  }

  /** Returns the sample size for a data centre with some number of endpoints, in proportion to all; it is rounded at random. */
  private sampleSizeOf (members: number, pools: readonly DataCentrePool[]): number {
    const all = pools.reduce((sum, dataCentrePool) => sum + dataCentrePool.members.items.length, 0)
    return Math.floor(GLOBAL_SAMPLE * members / all + this.scope.random())
  }

  /** Adds up to `count` of the first `among` endpoints of a list. */
  private sample (
    list: readonly EndpointState[], among: number, count: number, within?: readonly DataCentrePool[], draws = DRAWS_PER_ENDPOINT * count
  ): void {
    let missing = count
    for (let draw = 0; draw < draws && missing > 0; draw += 1) {
      const endpoint = list[Math.floor(this.scope.random() * Math.min(among, list.length))]
      if (endpoint === undefined || !this.isSelectable(endpoint)) continue
      if (within !== undefined && !isInPools(this.scope.pool, within, endpoint)) continue
      this.found.add(endpoint)
      missing -= 1
    }
  }

  private isSelectable (endpoint: EndpointState): boolean {
    return !this.found.has(endpoint) && canAccept(this.request, endpoint) && this.scope.isAllowed(endpoint)
  }
}
