/** Chooses the endpoint for one request: collects the eligible endpoints and the inputs of the balancing policy. */
import {
  candidateSet, choose, hasSlot, sizeOf, whyTooLarge, type Candidate, type Choosable, type Demand, type EndpointState
} from '@gullwall/routing.balancer'
import { type AttemptHistory } from './attempt-history.ts'
import { isRepeatable, type Call } from './call.ts'
import { whyNotEligible, whyNotPlace, whyNotEndpoint } from './eligibility.ts'
import { type GatewayServices } from './index.ts'

/** Time after the start in which other entries are assumed to have sent prompts to their affinity endpoints, in ms. */
const TRUST_AFFINITY_MS = 10_000

export interface EndpointChoiceOptions {
  services: GatewayServices
  call: Call
  history: AttemptHistory
  /** Whether the caller has already received a part of the stream. */
  isResumed: boolean
}

/** Maximum number of endpoints of a service or a data centre that are checked for a refusal reason or for an available endpoint. */
const MAX_CHECKED_ENDPOINTS = 512

/** Chooses the endpoint for the next attempt; undefined if no endpoint accepts the request. */
export function chooseEndpoint ({ services, call, history, isResumed }: EndpointChoiceOptions): Candidate | undefined {
  const { view, settings, weights, startedAt, crossings } = services
  const service = pickService(services, call)
  const engine = view.table?.service(service)?.engine
  const now = performance.now()
  const demand: Demand = {
    prompt: call.prompt,
    tier: call.tier,
    isResumed,
    needsSlot: engine !== undefined,
    isOnce: !isRepeatable(call) || call.route.maxAttempts === 1,
    dataCentre: settings.dataCentre,
    crossing: crossings.of(call),
    targetMs: call.route.targetMs,
    pauseMs: call.route.pauseMs,
    excluded: history.excluded,
    sources: [],
    trustsHome: now - startedAt < TRUST_AFFINITY_MS,
    isSensitive: isSensitive(services, call, service),
    size: sizeOf(call.prompt, outputTokensOf(services, call)),
    reserved: view.reserved.of(service)
  }
  const { endpoints, homes, sources } = candidateSet(demand, choosable(services, call, service))
  const fullDemand = { ...demand, homes, sources: engine?.copiesPrefixes === true ? sources : [] }
  const preferred = services.coldEngines.preferred(endpoints, call)
  const candidate = choose(fullDemand, preferred, now, weights)
  return candidate ?? (preferred.length < endpoints.length ? choose(fullDemand, endpoints, now, weights) : undefined)
}

/** Estimates the length of the response to a request, in tokens. */
export function outputTokensOf ({ outputs }: GatewayServices, { route, output }: Call): number {
  return Math.round(outputs.of(route.name, output ?? {}))
}

/** Returns why no engine of the route's services can ever run the request; undefined if one can. */
export function whyNever ({ view }: GatewayServices, { route, prompt }: Call): string | undefined {
  const reasons = route.split.filter(({ weight }) => weight > 0).map(({ service }) => {
    const engine = view.table?.service(service)?.engine
    return engine === undefined ? undefined : whyTooLarge(prompt, engine.memoryTokens)
  })
  return reasons.every((reason) => reason !== undefined) ? reasons[0] : undefined
}

/** Returns the usable endpoints of a service, and the rules that exclude some of them for this request. */
function choosable ({ view, eligibility }: GatewayServices, call: Call, service: string): Choosable {
  return {
    pool: view.pool(service),
    keepers: view.index.keepers,
    mayGoTo: (dataCentre) => whyNotPlace(eligibility, dataCentre, call) === undefined,
    accepts: (endpoint) => whyNotEndpoint(eligibility, endpoint, call) === undefined,
    random: Math.random
  }
}

/** Whether a request that is running at an endpoint could be sent to another one without requesting a grant. */
export function hasAlternative ({ services, call, history }: EndpointChoiceOptions, { description }: EndpointState): boolean {
  return hasMatch(choosable(services, call, description.service), (other) => {
    const { incarnation } = other.description
    // A grant may be refused; the request would then have neither endpoint.
    return incarnation !== description.incarnation && !history.excluded.has(incarnation) && !services.limits.mustAsk(other)
  })
}

/** Whether a request is a pause-sensitive stream: prefill at its engine delays its events, and its own prompt is short. */
export function isSensitive ({ view }: GatewayServices, { route }: Call, service: string): boolean {
  return view.reserved.isSensitive({ route: route.name, pauseMs: route.pauseMs }, service)
}

const NONE: ReadonlySet<string> = new Set()

/**
 * Returns the time until the first endpoint accepts a request again, in ms. Endpoints refuse requests during a requested backoff
 * and at their advertised limit. The result is 0 if an endpoint accepts requests now, or if none is known.
 * @param excluded incarnations that the request has tried already
 */
export function restMsOfAll (
  { view, eligibility, limits, notices: { backoffs } }: GatewayServices, call: Call, excluded: ReadonlySet<string> = NONE
): number {
  if (backoffs.size + limits.size === 0) return 0
  let soonest = Infinity
  for (const { service } of call.route.split.filter(({ weight }) => weight > 0)) {
    for (const { dataCentre, members } of view.pool(service).places) {
      if (whyNotPlace(eligibility, dataCentre, call) !== undefined) continue
      for (const { description: { incarnation } } of members.items) {
        if (excluded.has(incarnation)) continue
        soonest = Math.min(soonest, Math.max(backoffs.remainingMs(incarnation), limits.waitMs(incarnation)))
        if (soonest === 0) return 0
      }
    }
  }
  return Number.isFinite(soonest) ? soonest : 0
}

/** Returns why no endpoint was chosen. */
export function whyNone ({ services: { view, eligibility, crossings }, call, history }: EndpointChoiceOptions): string {
  const usable = call.route.split.flatMap(({ service }) => view.usable(service).slice(0, MAX_CHECKED_ENDPOINTS))
  const reasons = usable.map((endpoint) => whyNotEligible(eligibility, endpoint, call))
  const [first] = reasons
  if (first !== undefined && reasons.every((reason) => reason !== undefined)) return `no endpoint may have it: ${first}`
  const untried = usable.filter(({ description }, index) => reasons[index] === undefined && !history.excluded.has(description.incarnation))
  const crossing = crossings.of(call)
  const isLinkFull = crossing !== undefined && crossing.costMs === undefined
  return describeUntried(untried, isLinkFull) + describeIneligible(reasons)
}

/** Describes why none of the untried endpoints accepted the request. `isLinkFull`: the link to other regions has no capacity left. */
function describeUntried (untried: readonly EndpointState[], isLinkFull: boolean): string {
  if (untried.length === 0) return 'no endpoint accepts requests'
  if (isLinkFull) return 'no endpoint of its region takes it, and the link to others has no room'
  return untried.some(hasSlot) ? 'the memory of all endpoints with a free slot is taken' : 'the slots of all endpoints are taken'
}

/** Describes how many endpoints are not eligible, with the reason of the first one. */
function describeIneligible (reasons: ReadonlyArray<string | undefined>): string {
  const refusals = reasons.filter((reason) => reason !== undefined)
  return refusals.length === 0 ? '' : `; ${refusals.length} of ${reasons.length} may not have it: ${refusals[0]}`
}

/** Picks one of the route's services at random by weight; services without an eligible endpoint are left out. */
function pickService (services: GatewayServices, call: Call): string {
  const { route } = call
  const weighted = route.split.filter((part) => part.weight > 0)
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
  return hasMatch(choosable(services, call, service), () => true)
}

/** Whether an endpoint that the request may be sent to meets a condition; usually decided by the first endpoint that is checked. */
function hasMatch ({ pool, mayGoTo, accepts }: Choosable, matches: (endpoint: EndpointState) => boolean): boolean {
  for (const { dataCentre, members: { items } } of pool.places) {
    if (!mayGoTo(dataCentre)) continue
    for (let index = 0; index < Math.min(MAX_CHECKED_ENDPOINTS, items.length); index += 1) {
      const endpoint = items[index]
      if (endpoint !== undefined && matches(endpoint) && accepts(endpoint)) return true
    }
  }
  return false
}
