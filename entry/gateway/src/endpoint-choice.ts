/** Puts the choice of an endpoint for one request: which endpoints it may have, and what the policy must know. */
import {
  selectCandidates, choose, hasFreeSlot, requestSizeOf, findMemoryRefusalReason, type Candidate, type CandidateScope,
  type ChoiceRequest, type EndpointState
} from '@gullwall/routing.balancer'
import { type AttemptHistory } from './attempt-history.ts'
import { isRepeatable, type Call } from './call.ts'
import { findRefusalReason, findDataCentreRefusalReason, findEndpointRefusalReason } from './eligibility.ts'
import { type GatewayServices } from './index.ts'

/** After a start, other entries are taken to have sent prompts to their homes for so long, in ms. */
const TRUST_HOME_MS = 10_000

export interface EndpointChoiceOptions {
  services: GatewayServices
  call: Call
  history: AttemptHistory
  /** Whether the caller has had a part of its stream already. */
  isResumed: boolean
}

/** For the reason of a refusal, and to tell whether a service is able, so many endpoints of a service or a data centre are looked at. */
const MAX_LOOKS = 512

/** Chooses the endpoint for the next attempt; none if no endpoint takes it. */
export function chooseEndpoint ({ services, call, history, isResumed }: EndpointChoiceOptions): Candidate | undefined {
  const { view, settings, weights, startedAt, crossRegionTraffic } = services
  const service = pickService(services, call)
  const engine = view.table?.service(service)?.engine
  const now = performance.now()
  const demand: ChoiceRequest = {
    prompt: call.prompt,
    tier: call.tier,
    isResumed,
    needsSlot: engine !== undefined,
    isSingleAttempt: !isRepeatable(call) || call.route.maxAttempts === 1,
    dataCentre: settings.dataCentre,
    regions: crossRegionTraffic.costsFor(call),
    targetMs: call.route.targetMs,
    maxPauseMs: call.route.pauseMs,
    excluded: history.excluded,
    copySources: [],
    isAffinityTrusted: now - startedAt < TRUST_HOME_MS,
    isPauseSensitive: isPauseSensitive(services, call, service),
    size: requestSizeOf(call.prompt, estimateOutputTokens(services, call)),
    reserved: view.reserved.get(service)
  }
  const { endpoints, affinityEndpoints, copySources } = selectCandidates(demand, choosable(services, call, service))
  const whole: ChoiceRequest = { ...demand, affinityEndpoints, copySources: engine?.copiesPrefixes === true ? copySources : [] }
  const preferred = services.coldEndpoints.selectPreferred(endpoints, call)
  const candidate = choose(whole, preferred, now, weights)
  return candidate ?? (preferred.length < endpoints.length ? choose(whole, endpoints, now, weights) : undefined)
}

/** How long the answer to a request will probably be. */
export function estimateOutputTokens ({ outputEstimate }: GatewayServices, { route, output }: Call): number {
  return Math.round(outputEstimate.estimate(route.name, output ?? {}))
}

/** Why no engine of the request's services can ever run it; undefined if one can. */
export function findPermanentRefusalReason ({ view }: GatewayServices, { route, prompt }: Call): string | undefined {
  const whys = route.split.filter(({ weight }) => weight > 0).map(({ service }) => {
    const engine = view.table?.service(service)?.engine
    return engine === undefined ? undefined : findMemoryRefusalReason(prompt, engine.memoryTokens)
  })
  return whys.every((why) => why !== undefined) ? whys[0] : undefined
}

/** The endpoints of a service that take work, and the rules that keep this request from some of them. */
function choosable ({ view, eligibility }: GatewayServices, call: Call, service: string): CandidateScope {
  return {
    pool: view.pool(service),
    prefixHolders: view.index.prefixHolders,
    isDataCentreAllowed: (dataCentre) => findDataCentreRefusalReason(eligibility, dataCentre, call) === undefined,
    isAllowed: (endpoint) => findEndpointRefusalReason(eligibility, endpoint, call) === undefined,
    random: Math.random
  }
}

/** Whether a request that waits at an endpoint could have another one. */
export function hasAlternative ({ services, call, history }: EndpointChoiceOptions, { description }: EndpointState): boolean {
  return isAnyOf(choosable(services, call, description.service), (other) => {
    const { incarnation } = other.description
    // What has to ask first may be refused there, and would have lost the endpoint that it waits at.
    return incarnation !== description.incarnation && !history.excluded.has(incarnation) && !services.limits.needsGrant(other)
  })
}

/** Whether a request is a stream that is sensitive to reading, and reads little itself. */
export function isPauseSensitive ({ view }: GatewayServices, { route }: Call, service: string): boolean {
  return view.reserved.isPauseSensitive({ route: route.name, maxPauseMs: route.pauseMs }, service)
}

const NONE: ReadonlySet<string> = new Set()

/**
 * For how long no endpoint that a request might have takes any, since each wants nothing or is at its limit, in ms; 0 where one
 * takes work, or none is known.
 * @param excluded endpoints that the request has had already
 */
export function findAvailabilityDelayMs (
  { view, eligibility, limits, notices: { backoffs } }: GatewayServices, call: Call, excluded: ReadonlySet<string> = NONE
): number {
  if (backoffs.size + limits.size === 0) return 0
  let soonest = Infinity
  for (const { service } of call.route.split.filter(({ weight }) => weight > 0)) {
    for (const { dataCentre, members } of view.pool(service).dataCentrePools) {
      if (findDataCentreRefusalReason(eligibility, dataCentre, call) !== undefined) continue
      for (const { description: { incarnation } } of members.items) {
        if (excluded.has(incarnation)) continue
        soonest = Math.min(soonest, Math.max(backoffs.remainingMs(incarnation), limits.waitMs(incarnation)))
        if (soonest === 0) return 0
      }
    }
  }
  return Number.isFinite(soonest) ? soonest : 0
}

/** Why no endpoint was chosen. */
export function findNoEndpointReason (
  { services: { view, eligibility, crossRegionTraffic }, call, history }: EndpointChoiceOptions
): string {
  const usable = call.route.split.flatMap(({ service }) => view.usable(service).slice(0, MAX_LOOKS))
  const reasons = usable.map((endpoint) => findRefusalReason(eligibility, endpoint, call))
  const [first] = reasons
  if (first !== undefined && reasons.every((why) => why !== undefined)) return `no endpoint may have it: ${first}`
  const untried = usable.filter(({ description }, index) => reasons[index] === undefined && !history.excluded.has(description.incarnation))
  const crossing = crossRegionTraffic.costsFor(call)
  const isCut = crossing !== undefined && crossing.crossRegionCostMs === undefined
  return whyNoneOf(untried, isCut) + exceptionsOf(reasons)
}

/** Why none of the endpoints that a request has not had took it; `isCut` says that none of another region could. */
function whyNoneOf (untried: readonly EndpointState[], isCut: boolean): string {
  if (untried.length === 0) return 'no endpoint takes work'
  if (isCut) return 'no endpoint of its region takes it, and the link to others has no room'
  return untried.some(hasFreeSlot) ? 'the memory of all endpoints with a free slot is taken' : 'the slots of all endpoints are taken'
}

/** Which endpoints did not count, and why the first of them. */
function exceptionsOf (reasons: ReadonlyArray<string | undefined>): string {
  const given = reasons.filter((why) => why !== undefined)
  return given.length === 0 ? '' : `; ${given.length} of ${reasons.length} may not have it: ${given[0]}`
}

/** One of the route's services by weight; one without endpoints gives way to the others. */
function pickService (services: GatewayServices, call: Call): string {
  const { route } = call
  const weighed = route.split.filter((part) => part.weight > 0)
  const [first] = weighed
  if (weighed.length <= 1) return first?.service ?? ''
  const able = weighed.filter((part) => isAble(services, call, part.service))
  const parts = able.length > 0 ? able : weighed
  let draw = Math.random() * parts.reduce((sum, part) => sum + part.weight, 0)
  for (const part of parts) {
    draw -= part.weight
    if (draw < 0) return part.service
  }
  return parts[0]?.service ?? ''
}

/** Whether a service has an endpoint that the request may have. */
function isAble (services: GatewayServices, call: Call, service: string): boolean {
  return isAnyOf(choosable(services, call, service), () => true)
}

/** Whether any endpoint that a request may have fits. The first that is looked at tells, but where rules bar many. */
function isAnyOf ({ pool, isDataCentreAllowed, isAllowed }: CandidateScope, fits: (endpoint: EndpointState) => boolean): boolean {
  for (const { dataCentre, members: { items } } of pool.dataCentrePools) {
    if (!isDataCentreAllowed(dataCentre)) continue
    for (let look = 0; look < Math.min(MAX_LOOKS, items.length); look += 1) {
      const endpoint = items[look]
      if (endpoint !== undefined && fits(endpoint) && isAllowed(endpoint)) return true
    }
  }
  return false
}
