/** Chooses the endpoint for one request: collects the eligible endpoints and the inputs of the balancing policy. */
import {
  selectCandidates, choose, hasFreeSlot, requestSizeOf, findMemoryRefusalReason, type Candidate, type CandidateScope,
  type ChoiceRequest, type EndpointDescription, type EndpointState
} from '@gullwall/routing.balancer'
import { isSameBuild } from '@gullwall/routing.stream-builds'
import { type AttemptHistory } from './attempt-history.ts'
import { isRepeatable, type Call } from './call.ts'
import { findRefusalReason, findDataCentreRefusalReason, findEndpointRefusalReason } from './eligibility.ts'
import { type GatewayServices } from './index.ts'

/** Time after the start in which other entries are assumed to have sent prompts to their affinity endpoints, in ms. */
const TRUST_AFFINITY_MS = 10_000

export interface EndpointChoiceOptions {
  services: GatewayServices
  call: Call
  history: AttemptHistory
}

/** Maximum number of endpoints of a service or a data centre that are checked for a refusal reason or for an available endpoint. */
const MAX_CHECKED_ENDPOINTS = 512

/** Chooses the endpoint for the next attempt; undefined if no endpoint accepts the request. */
export function chooseEndpoint ({ services, call, history }: EndpointChoiceOptions): Candidate | undefined {
  const { view, settings, weights, startedAt, crossRegionTraffic } = services
  const service = pickService(services, call)
  const engine = view.table?.service(service)?.engine
  const now = performance.now()
  const choiceRequest: ChoiceRequest = {
    prompt: call.prompt,
    tier: call.tier,
    isResumed: call.binding !== undefined,
    needsSlot: engine !== undefined,
    isSingleAttempt: !isRepeatable(call) || call.route.maxAttempts === 1,
    dataCentre: settings.dataCentre,
    regions: crossRegionTraffic.costsFor(call),
    firstEventTargetMs: call.route.targetMs,
    maxPauseMs: call.route.pauseMs,
    excluded: history.excluded,
    copySources: [],
    isAffinityTrusted: now - startedAt < TRUST_AFFINITY_MS,
    isPauseSensitive: isPauseSensitive(services, call, service),
    size: requestSizeOf(call.prompt, estimateOutputTokens(services, call)),
    reserved: view.reserved.get(service)
  }
  const { endpoints, affinityEndpoints, copySources } = selectCandidates(choiceRequest, candidateScope(services, call, service))
  const fullRequest: ChoiceRequest = {
    ...choiceRequest, affinityEndpoints, copySources: engine?.copiesPrefixes === true ? copySources : []
  }
  const preferred = services.coldEndpoints.selectPreferred(endpoints, call)
  const candidate = choose(fullRequest, preferred, now, weights)
  return candidate ?? (preferred.length < endpoints.length ? choose(fullRequest, endpoints, now, weights) : undefined)
}

/** Estimates the length of the response to a request, in tokens. */
export function estimateOutputTokens ({ outputLengthEstimator }: GatewayServices, { route, output }: Call): number {
  return Math.round(outputLengthEstimator.estimate(route.name, output ?? {}))
}

/** Returns why no engine of the route's services can ever run the request; undefined if one can. */
export function findPermanentRefusalReason ({ view }: GatewayServices, { route, prompt }: Call): string | undefined {
  const reasons = route.split.filter(({ weight }) => weight > 0).map(({ service }) => {
    const engine = view.table?.service(service)?.engine
    return engine === undefined ? undefined : findMemoryRefusalReason(prompt, engine.memoryTokens)
  })
  return reasons.every((reason) => reason !== undefined) ? reasons[0] : undefined
}

/** Returns the usable endpoints of a service, and the rules that exclude some of them for this request. */
function candidateScope ({ view, eligibility }: GatewayServices, call: Call, service: string): CandidateScope {
  return {
    pool: view.pool(service),
    prefixHolders: view.index.prefixHolders,
    isDataCentreAllowed: (dataCentre) => findDataCentreRefusalReason(eligibility, dataCentre, call) === undefined,
    isAllowed: (endpoint) => findEndpointRefusalReason(eligibility, endpoint, call) === undefined,
    isSelective: call.binding !== undefined,
    random: Math.random
  }
}

/** Whether a request that is running at an endpoint could be sent to another one without requesting a grant. */
export function hasAlternative ({ services, call, history }: EndpointChoiceOptions, { description }: EndpointState): boolean {
  return hasMatch(candidateScope(services, call, description.service), (other) => {
    const { incarnation } = other.description
    // A grant may be refused; the request would then have neither endpoint.
    return incarnation !== description.incarnation && !history.excluded.has(incarnation) && !services.limits.needsGrant(other)
  })
}

/** Whether a request is a pause-sensitive stream: prefill at its engine delays its events, and its own prompt is short. */
export function isPauseSensitive ({ view }: GatewayServices, { route }: Call, service: string): boolean {
  return view.reserved.isPauseSensitive({ route: route.name, maxPauseMs: route.pauseMs }, service)
}

/** Whether the stream of a call, if it has begun, may go on at the build of an endpoint. */
export function isBuildAllowed ({ binding }: Call, description: EndpointDescription): boolean {
  return binding === undefined || isSameBuild(binding, description)
}

const NONE: ReadonlySet<string> = new Set()

/**
 * Returns the time until the first endpoint accepts a request again, in ms. Endpoints refuse requests during a requested backoff
 * and at their advertised limit. The result is 0 if an endpoint accepts requests now, or if none is known.
 * @param excluded incarnations that the request has tried already
 */
export function findAvailabilityDelayMs (
  { view, eligibility, limits, notices: { backoffs } }: GatewayServices, call: Call, excluded: ReadonlySet<string> = NONE
): number {
  if (backoffs.size + limits.size === 0) return 0
  let soonest = Infinity
  for (const { service } of call.route.split.filter(({ weight }) => weight > 0)) {
    for (const { dataCentre, members } of view.pool(service).dataCentrePools) {
      if (findDataCentreRefusalReason(eligibility, dataCentre, call) !== undefined) continue
      for (const { description } of members.items) {
        const { incarnation } = description
        if (excluded.has(incarnation) || !isBuildAllowed(call, description)) continue
        soonest = Math.min(soonest, Math.max(backoffs.remainingMs(incarnation), limits.waitMs(incarnation)))
        if (soonest === 0) return 0
      }
    }
  }
  return Number.isFinite(soonest) ? soonest : 0
}

/** Returns why no endpoint was chosen. */
export function findNoEndpointReason (
  { services: { view, eligibility, crossRegionTraffic }, call, history }: EndpointChoiceOptions
): string {
  const usable = call.route.split.flatMap(({ service }) => view.usable(service).slice(0, MAX_CHECKED_ENDPOINTS))
  const reasons = usable.map((endpoint) => findRefusalReason(eligibility, endpoint, call))
  const [first] = reasons
  if (first !== undefined && reasons.every((reason) => reason !== undefined)) return `no eligible endpoint: ${first}`
  const untried = usable.filter(({ description }, index) => reasons[index] === undefined && !history.excluded.has(description.incarnation))
  const regions = crossRegionTraffic.costsFor(call)
  const isLinkFull = regions !== undefined && regions.crossRegionCostMs === undefined
  return describeUntried(untried, isLinkFull) + describeIneligible(reasons)
}

/** Describes why none of the untried endpoints accepted the request. `isLinkFull`: the link to other regions has no capacity left. */
function describeUntried (untried: readonly EndpointState[], isLinkFull: boolean): string {
  if (untried.length === 0) return 'no endpoint accepts requests'
  if (isLinkFull) return 'no endpoint of its region accepts it, and the link to other regions has no capacity'
  return untried.some(hasFreeSlot) ? 'the memory of all endpoints with a free slot is taken' : 'the slots of all endpoints are taken'
}

/** Describes how many endpoints are not eligible, with the reason of the first one. */
function describeIneligible (reasons: ReadonlyArray<string | undefined>): string {
  const refusals = reasons.filter((reason) => reason !== undefined)
  return refusals.length === 0 ? '' : `; ${refusals.length} of ${reasons.length} endpoints not eligible: ${refusals[0]}`
}

/** Picks one of the route's services at random by weight; services without an eligible endpoint are left out. */
function pickService (services: GatewayServices, call: Call): string {
  const { route, binding } = call
  const weighted = route.split.filter((part) => part.weight > 0)
  // A stream goes on at its service, or nowhere if the route no longer leads there.
  if (binding !== undefined) return weighted.some(({ service }) => service === binding.service) ? binding.service : ''
  const [first] = weighted
  if (weighted.length <= 1) return first?.service ?? ''
  const available = weighted.filter((part) => isAvailable(services, call, part.service))
  const parts = available.length > 0 ? available : weighted
  let draw = Math.random() * parts.reduce((sum, part) => sum + part.weight, 0)
  for (const part of parts) {
    draw -= part.weight
    if (draw < 0) return part.service
  }
  return parts[0]?.service ?? ''
}

/** Whether a service has an endpoint that the request may be sent to. */
function isAvailable (services: GatewayServices, call: Call, service: string): boolean {
  return hasMatch(candidateScope(services, call, service), () => true)
}

/** Whether an endpoint that the request may be sent to meets a condition; usually decided by the first endpoint that is checked. */
function hasMatch ({ pool, isDataCentreAllowed, isAllowed }: CandidateScope, matches: (endpoint: EndpointState) => boolean): boolean {
  for (const { dataCentre, members: { items } } of pool.dataCentrePools) {
    if (!isDataCentreAllowed(dataCentre)) continue
    for (let index = 0; index < Math.min(MAX_CHECKED_ENDPOINTS, items.length); index += 1) {
      const endpoint = items[index]
      if (endpoint !== undefined && matches(endpoint) && isAllowed(endpoint)) return true
    }
  }
  return false
}
