/**
 * Regions in the choice of an endpoint: a request stays in its own region while that has room, a prompt has one affinity endpoint
 * in each region, and engines copy prompt parts only from engines of their own region.
 */
import { type Candidate, type ChoiceRequest } from './choose.ts'
import { type EndpointState } from './endpoint-state.ts'

/** The regions as seen by one request. */
export interface RegionContext {
  regionOf: (dataCentre: string) => string
  /**
   * The cost of sending this request to another region, in ms: the round trip and a price for its bytes. Undefined if the link
   * between regions has no capacity for it now.
   */
  crossRegionCostMs: number | undefined
}

/** The comparison that led to an endpoint in another region. */
export interface CrossRegionChoice {
  region: string
  /** The part of the cost that is due to the other region, in ms. */
  costMs: number
  /** The lowest cost in the request's own region; undefined if no endpoint there can accept the request. */
  localCost: number | undefined
}

/**
 * The fixed cost of another region, in ms. It exceeds the cost of an engine that is not the affinity endpoint (200), so that the
 * ordinary differences between engines send no request over the link. It is well below the cost of a first event that is late with
 * a probability of a half (750), and of an engine with five sixths of its slots taken (1020).
 */
const CROSS_REGION_MS = 300

function regionOf ({ regions }: ChoiceRequest, { description }: EndpointState): string {
  return regions?.regionOf(description.dataCentre) ?? ''
}

function isOtherRegion (request: ChoiceRequest, endpoint: EndpointState): boolean {
  return request.regions !== undefined && regionOf(request, endpoint) !== request.regions.regionOf(request.dataCentre)
}

/** Whether an endpoint is in the request's own region, or the link to other regions has capacity for the request. */
export function hasLinkCapacity (request: ChoiceRequest, endpoint: EndpointState): boolean {
  return request.regions?.crossRegionCostMs !== undefined || !isOtherRegion(request, endpoint)
}

/** Returns the cost of the distance to an endpoint, in ms. */
export function distanceCostMs (request: ChoiceRequest, endpoint: EndpointState, otherDataCentreMs: number): number {
  if (endpoint.description.dataCentre === request.dataCentre) return 0
  return isOtherRegion(request, endpoint) ? CROSS_REGION_MS + (request.regions?.crossRegionCostMs ?? 0) : otherDataCentreMs
}

/**
 * Whether engines are reserved in the region of an endpoint. Without a reservation in their own region, streams must not prefer the
 * reserved engines of another region: their own region would then have no such streams, and would never reserve an engine.
 */
export function hasReservedInRegion (request: ChoiceRequest, endpoint: EndpointState): boolean {
  if (request.regions === undefined) return request.reserved.size > 0
  const region = regionOf(request, endpoint)
  for (const reserved of request.reserved) if (regionOf(request, reserved) === region) return true
  return false
}

/** Groups endpoints by region; there is one group if the deployment has one region. */
export function groupByRegion (request: ChoiceRequest, endpoints: readonly EndpointState[]): Map<string, readonly EndpointState[]> {
  if (request.regions === undefined) return new Map([['', endpoints]])
  const groups = new Map<string, EndpointState[]>()
  for (const endpoint of endpoints) {
    const region = regionOf(request, endpoint)
    const group = groups.get(region)
    if (group === undefined) groups.set(region, [endpoint])
    else group.push(endpoint)
  }
  return groups
}

/** Computes a value once for each region; the returned function gives the value for the region of an endpoint. */
export function findPerRegion<T> (
  request: ChoiceRequest, endpoints: readonly EndpointState[], find: (group: readonly EndpointState[]) => T
): (endpoint: EndpointState) => T | undefined {
  const values = new Map([...groupByRegion(request, endpoints)].map(([region, group]) => [region, find(group)]))
  return (endpoint) => values.get(regionOf(request, endpoint))
}

/** Explains the choice of an endpoint in another region; undefined if the request stays in its own region. */
export function crossRegionChoiceOf (
  request: ChoiceRequest, chosen: Candidate, candidates: readonly Candidate[]
): CrossRegionChoice | undefined {
  if (!isOtherRegion(request, chosen.endpoint)) return undefined
  const localCosts = candidates.filter(({ endpoint }) => !isOtherRegion(request, endpoint)).map(({ cost }) => cost)
  return {
    region: regionOf(request, chosen.endpoint),
    costMs: CROSS_REGION_MS + (request.regions?.crossRegionCostMs ?? 0),
    localCost: localCosts.length === 0 ? undefined : Math.min(...localCosts)
  }
}
