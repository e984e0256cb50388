/** Puts the choice of an endpoint for one request: which endpoints it may have, and what the policy must know. */
import { choose, type Candidate, type Demand, type EndpointState } from '@gullwall/routing.balancer'
import { type AttemptHistory } from './attempt-history.ts'
import { type Call } from './call.ts'
import { whyNotEligible } from './eligibility.ts'
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

/** Chooses the endpoint for the next attempt; none if no endpoint takes it. */
export function chooseEndpoint ({ services, call, history, isResumed }: EndpointChoiceOptions): Candidate | undefined {
  const { view, settings, weights, startedAt, crossings } = services
  const service = pickService(services, call)
  const usable = eligibleEndpoints(services, call, service)
  const engine = view.table?.service(service)?.engine
  const now = performance.now()
  const demand: Demand = {
    prompt: call.prompt,
    tier: call.tier,
    isResumed,
    needsSlot: engine !== undefined,
    dataCentre: settings.dataCentre,
    crossing: crossings.of(call),
    targetMs: call.route.targetMs,
    pauseMs: call.route.pauseMs,
    excluded: history.excluded,
    sources: engine?.copiesPrefixes === true ? usable : [],
    trustsHome: now - startedAt < TRUST_HOME_MS,
    isSensitive: isSensitive(services, call, service),
    reserved: view.reserved.of(service)
  }
  const preferred = services.coldEngines.preferred(usable, call)
  const candidate = choose(demand, preferred, now, weights)
  return candidate ?? (preferred.length < usable.length ? choose(demand, usable, now, weights) : undefined)
}

/** The endpoints of a service that take work and that no rule keeps this request from. */
function eligibleEndpoints ({ view, eligibility }: GatewayServices, call: Call, service: string): EndpointState[] {
  return view.usable(service).filter((endpoint) => whyNotEligible(eligibility, endpoint, call) === undefined)
}

/** Whether a request that waits at an endpoint could have another one. */
export function hasAlternative ({ services, call, history }: EndpointChoiceOptions, { description }: EndpointState): boolean {
  return eligibleEndpoints(services, call, description.service).some(({ description: { incarnation } }) => (
    incarnation !== description.incarnation && !history.excluded.has(incarnation)
  ))
}

/** Whether a request is a stream that is sensitive to reading, and reads little itself. */
export function isSensitive ({ view }: GatewayServices, { route }: Call, service: string): boolean {
  return view.reserved.isSensitive({ route: route.name, pauseMs: route.pauseMs }, service)
}

/** Why no endpoint was chosen. */
export function whyNone ({ services: { view, eligibility, crossings }, call, history }: EndpointChoiceOptions): string {
  const usable = call.route.split.flatMap(({ service }) => view.usable(service))
  const reasons = usable.map((endpoint) => whyNotEligible(eligibility, endpoint, call))
  const [first] = reasons
  if (first !== undefined && reasons.every((why) => why !== undefined)) return `no endpoint may have it: ${first}`
  const allowed = usable.filter((_endpoint, index) => reasons[index] === undefined)
  const isUntried = allowed.some(({ description }) => !history.excluded.has(description.incarnation))
  const crossing = crossings.of(call)
  const isCut = crossing !== undefined && crossing.costMs === undefined
  const taken = isCut ? 'no endpoint of its region takes it, and the link to others has no room' : 'the slots of all endpoints are taken'
  return (isUntried ? taken : 'no endpoint takes work') + exceptionsOf(reasons)
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
  const able = weighed.filter((part) => eligibleEndpoints(services, call, part.service).length > 0)
  const parts = able.length > 0 ? able : weighed
  let draw = Math.random() * parts.reduce((sum, part) => sum + part.weight, 0)
  for (const part of parts) {
    draw -= part.weight
    if (draw < 0) return part.service
  }
  return parts[0]?.service ?? ''
}
