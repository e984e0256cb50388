/**
 * Regions in the choice of an endpoint: a request stays in its own region while that has room, a prompt has one affinity endpoint
 * in each region, and engines copy prompt parts only from engines of their own region.
 */
import { type Candidate, type Demand } from './choose.ts'
import { type EndpointState } from './endpoint-state.ts'

/** The regions as seen by one request. */
export interface Crossing {
  regionOf: (dataCentre: string) => string
  /**
   * The cost of sending this request to another region, in ms: the round trip and a price for its bytes. Undefined if the link
   * between regions has no capacity for it now.
   */
  costMs: number | undefined
}

/** The comparison that led to an endpoint in another region. */
export interface Leaving {
  region: string
  /** The part of the cost that is due to the other region, in ms. */
  costMs: number
  /** The lowest cost in the request's own region; undefined if no endpoint there can accept the request. */
  stayCost: number | undefined
}

/**
 * The fixed cost of another region, in ms. It exceeds the cost of an engine that is not the affinity endpoint (200), so that the
 * ordinary differences between engines send no request over the link. It is well below the cost of a first event that is late with
 * a probability of a half (750), and of an engine with five sixths of its slots taken (1020).
 */
const CROSS_REGION_MS = 300

function regionOf ({ crossing }: Demand, { description }: EndpointState): string {
  return crossing?.regionOf(description.dataCentre) ?? ''
}

function isOtherRegion (demand: Demand, endpoint: EndpointState): boolean {
  return demand.crossing !== undefined && regionOf(demand, endpoint) !== demand.crossing.regionOf(demand.dataCentre)
}

/** Whether an endpoint is in the request's own region, or the link to other regions has capacity for the request. */
export function isWithinReach (demand: Demand, endpoint: EndpointState): boolean {
  return demand.crossing?.costMs !== undefined || !isOtherRegion(demand, endpoint)
}

/** Returns the cost of the distance to an endpoint, in ms. */
export function distanceCost (demand: Demand, endpoint: EndpointState, otherDataCentreMs: number): number {
  if (endpoint.description.dataCentre === demand.dataCentre) return 0
  return isOtherRegion(demand, endpoint) ? CROSS_REGION_MS + (demand.crossing?.costMs ?? 0) : otherDataCentreMs
}

/**
 * Whether engines are reserved in the region of an endpoint. Without a reservation in their own region, streams must not prefer the
 * reserved engines of another region: their own region would then have no such streams, and would never reserve an engine.
 */
export function reservesNear (demand: Demand, endpoint: EndpointState): boolean {
  if (demand.crossing === undefined) return demand.reserved.size > 0
  const region = regionOf(demand, endpoint)
  for (const reserved of demand.reserved) if (regionOf(demand, reserved) === region) return true
  return false
}

/** Groups endpoints by region; there is one group if the deployment has one region. */
export function byRegion (demand: Demand, endpoints: readonly EndpointState[]): Map<string, readonly EndpointState[]> {
  if (demand.crossing === undefined) return new Map([['', endpoints]])
  const groups = new Map<string, EndpointState[]>()
  for (const endpoint of endpoints) {
    const region = regionOf(demand, endpoint)
    const group = groups.get(region)
    if (group === undefined) groups.set(region, [endpoint])
    else group.push(endpoint)
  }
  return groups
}

/** Computes a value once for each region; the returned function gives the value for the region of an endpoint. */
export function perRegion<T> (
  demand: Demand, endpoints: readonly EndpointState[], find: (group: readonly EndpointState[]) => T
): (endpoint: EndpointState) => T | undefined {
  const found = new Map([...byRegion(demand, endpoints)].map(([region, group]) => [region, find(group)]))
  return (endpoint) => found.get(regionOf(demand, endpoint))
}

/** Explains the choice of an endpoint in another region; undefined if the request stays in its own region. */
export function leavingOf (demand: Demand, chosen: Candidate, candidates: readonly Candidate[]): Leaving | undefined {
  if (!isOtherRegion(demand, chosen.endpoint)) return undefined
  const localCosts = candidates.filter(({ endpoint }) => !isOtherRegion(demand, endpoint)).map(({ cost }) => cost)
  return {
    region: regionOf(demand, chosen.endpoint),
    costMs: CROSS_REGION_MS + (demand.crossing?.costMs ?? 0),
    stayCost: localCosts.length === 0 ? undefined : Math.min(...localCosts)
  }
}
