/**
 * What the choice makes of regions: requests stay in their own while it has room, each prompt has one home in every region,
 * and engines copy from engines of their own region only.
 */
import { type Candidate, type ChoiceRequest } from './choose.ts'
import { type EndpointState } from './endpoint-state.ts'

/** What the choice knows of regions for one request; a deployment in one region gives none. */
export interface RegionContext {
  regionOf: (dataCentre: string) => string
  /**
   * What it costs to have this request answered in another region, in ms: time, and bytes at their price; none where the link
   * between regions has no room for it now.
   */
  crossRegionCostMs: number | undefined
}

/** Why a candidate of another region was preferred. */
export interface CrossRegionChoice {
  region: string
  /** What the way there and back was taken to cost, in ms. */
  costMs: number
  /** What the best endpoint of the own region would have cost; none where it had none. */
  localCost: number | undefined
}

/**
 * How much worse its own region must be before a request leaves it at all, in ms: more than the cost of an engine that is
 * not the home of a prompt (200), so that the ordinary differences between engines send nothing over the link. A first event
 * that is late for half (750) and an engine with five sixths of its slots taken (1020) are well above.
 */
const LEAVING_MS = 300

function regionOf ({ regions }: ChoiceRequest, { description }: EndpointState): string {
  return regions?.regionOf(description.dataCentre) ?? ''
}

function isOtherRegion (demand: ChoiceRequest, endpoint: EndpointState): boolean {
  return demand.regions !== undefined && regionOf(demand, endpoint) !== demand.regions.regionOf(demand.dataCentre)
}

/** Whether the link between regions has room for the request, if it has to take it. */
export function hasLinkCapacity (demand: ChoiceRequest, endpoint: EndpointState): boolean {
  return demand.regions?.crossRegionCostMs !== undefined || !isOtherRegion(demand, endpoint)
}

/** What the way to an endpoint costs, in ms. */
export function distanceCostMs (demand: ChoiceRequest, endpoint: EndpointState, otherDataCentreMs: number): number {
  if (endpoint.description.dataCentre === demand.dataCentre) return 0
  return isOtherRegion(demand, endpoint) ? LEAVING_MS + (demand.regions?.crossRegionCostMs ?? 0) : otherDataCentreMs
}

/**
 * Whether engines are reserved in the region of an endpoint. Where none are, streams must not leave for those that another
 * region reserves: with all of them gone, their own region would never reserve any.
 */
export function hasReservedInRegion (demand: ChoiceRequest, endpoint: EndpointState): boolean {
  if (demand.regions === undefined) return demand.reserved.size > 0
  const region = regionOf(demand, endpoint)
  for (const reserved of demand.reserved) if (regionOf(demand, reserved) === region) return true
  return false
}

/** The endpoints of each region; all together where there is only one. */
export function groupByRegion (demand: ChoiceRequest, endpoints: readonly EndpointState[]): Map<string, readonly EndpointState[]> {
  if (demand.regions === undefined) return new Map([['', endpoints]])
  const groups = new Map<string, EndpointState[]>()
  for (const endpoint of endpoints) {
    const region = regionOf(demand, endpoint)
    const group = groups.get(region)
    if (group === undefined) groups.set(region, [endpoint])
    else group.push(endpoint)
  }
  return groups
}

/** Finds something once for each region, and gives it for any endpoint there. */
export function findPerRegion<T> (
  demand: ChoiceRequest, endpoints: readonly EndpointState[], find: (group: readonly EndpointState[]) => T
): (endpoint: EndpointState) => T | undefined {
  const found = new Map([...groupByRegion(demand, endpoints)].map(([region, group]) => [region, find(group)]))
  return (endpoint) => found.get(regionOf(demand, endpoint))
}

/** Why the chosen candidate leaves the request's region; undefined where it stays. */
export function crossRegionChoiceOf (
  demand: ChoiceRequest, chosen: Candidate, candidates: readonly Candidate[]
): CrossRegionChoice | undefined {
  if (!isOtherRegion(demand, chosen.endpoint)) return undefined
  const staying = candidates.filter(({ endpoint }) => !isOtherRegion(demand, endpoint)).map(({ cost }) => cost)
  return {
    region: regionOf(demand, chosen.endpoint),
    costMs: LEAVING_MS + (demand.regions?.crossRegionCostMs ?? 0),
    localCost: staying.length === 0 ? undefined : Math.min(...staying)
  }
}
