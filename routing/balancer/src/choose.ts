/** Chooses an endpoint: each candidate gets a cost in ms, and the candidate with the lowest cost is chosen. */
import {
  distanceCostMs, hasLinkCapacity, crossRegionChoiceOf, findPerRegion, hasReservedInRegion, type RegionContext, type CrossRegionChoice
} from './cross-region.ts'
import { fitsMemory, memoryUtilisationPenalty, type RequestSize } from './engine-memory.ts'
import { type EndpointState } from './endpoint-state.ts'
import { type PromptPart } from './prefix-cache-model.ts'
import { selectByRendezvous } from './rendezvous.ts'
import { delayedStreamShare, pauseSensitivityOf } from './pause-sensitivity.ts'
import { urgencyOf } from './urgency.ts'

/** The properties of a request that the choice depends on. */
export interface ChoiceRequest {
  /** The parts of the prompt in order; empty if the request has no prompt. */
  prompt: readonly PromptPart[]
  dataCentre: string
  /** The regions and the cost of a cross-region request; undefined if the deployment has one region only. */
  regions?: RegionContext
  tier: number
  /** Whether the caller has already received a part of its stream. */
  isResumed: boolean
  /** Whether the endpoints are engines. An engine without a free slot preempts a request to run a more urgent one. */
  needsSlot: boolean
  /** Whether the request may not be retried after a failed attempt. */
  isSingleAttempt?: boolean
  /** The target for the time to the first event, in ms; 0 if there is none. */
  firstEventTargetMs: number
  /** The longest acceptable pause between events, in ms; undefined if the route sets no limit. */
  maxPauseMs: number | undefined
  /** The incarnations of the endpoints to which this request was already sent. */
  excluded: ReadonlySet<string>
  /** Endpoints from which other endpoints can copy cached prompt parts. */
  copySources: readonly EndpointState[]
  /**
   * The affinity endpoint of the prompt in each region, if only some endpoints of the service are scored. If undefined, the
   * affinity endpoints are computed from the scored endpoints.
   */
  affinityEndpoints?: readonly EndpointState[] | undefined
  /**
   * Whether the affinity endpoint is assumed to have the shared prefix cached although no entry has reported it. An entry that
   * has just started doesn't know what was sent before.
   */
  isAffinityTrusted: boolean
  /** Whether the request is a stream that prefill on the same engine would delay and that needs little prefill itself. */
  isPauseSensitive: boolean
  /** The memory that the request will take at an engine; if undefined, the choice assumes that it fits. */
  size?: RequestSize | undefined
  /** Engines that are reserved for pause-sensitive streams. */
  reserved: ReadonlySet<EndpointState>
}

/** The weights of the cost terms: factors where the name ends in `Weight`, otherwise costs in ms. */
export interface ChoiceWeights {
  /** The factor for prefill time; above 1, because repeated prefill of a shared prefix takes capacity from all requests. */
  prefillWeight: number
  /** The factor for copied tokens, relative to the time that their prefill would take. */
  copyWeight: number
  /** For an endpoint that is not the affinity endpoint of the prompt and has no part of it cached. */
  notAffinity: number
  /** For a first event after its target; multiplied by the estimated probability of that. */
  lateFirstEvent: number
  /** For each request in flight at the endpoint. */
  perRunningRequest: number
  /** For a stream of pause sensitivity 1 that the prefill of this prompt delays. */
  delayedStream: number
  /** For a stream of pause sensitivity 1 at an engine that is always busy with prefill. */
  streamBesidePrefill: number
  /** The reduction for a pause-sensitive stream, per unit of pause sensitivity at the engine: such streams share engines. */
  streamColocation: number
  /** For a pause-sensitive stream at an engine that is not reserved. */
  notReserved: number
  /** For any other request at a reserved engine. */
  reserved: number
  /** For an engine with no free slot. */
  fullSlots: number
  /** For an engine with no free memory; equal to the cost of the prefill of 9,000 tokens. */
  fullMemory: number
  /** For an endpoint in another data centre of the same region. */
  otherDataCentre: number
  /** For an endpoint with a failure share of 1. */
  failures: number
  /**
   * For a request that may not be retried, at an endpoint with a failure share of 1. An engine that fails half of its requests
   * must cost more than an engine that is not reserved (1,000).
   */
  failuresSingleAttempt: number
  /**
   * For an endpoint that no other entry can connect to. More than twice the cost of the prefill of 13,000 tokens elsewhere
   * (4,400 ms), so that requests don't stay at an unreachable affinity endpoint.
   */
  unreachable: number
  /** For an endpoint that is silent or ejected; higher than any other cost. */
  unhealthy: number
}

export const DEFAULT_WEIGHTS: ChoiceWeights = {
  prefillWeight: 12,
  copyWeight: 2,
  notAffinity: 200,
  lateFirstEvent: 1500,
  perRunningRequest: 2,
  delayedStream: 300,
  streamBesidePrefill: 2000,
  streamColocation: 12,
  notReserved: 1000,
  reserved: 3000,
  fullSlots: 3000,
  fullMemory: 3000,
  otherDataCentre: 20,
  failures: 400,
  failuresSingleAttempt: 4000,
  unreachable: 10_000,
  unhealthy: 100_000
}

/** From this multiple of the target, the estimated probability of a late first event rises from 0. */
const LATE_RISK_FROM_TARGETS = 0.6
/** At this multiple of the target, that probability reaches 1. Predictions are too short when many entries send at the same time. */
const LATE_CERTAIN_AT_TARGETS = 1.2
/** Streams with a lower pause sensitivity are not co-located: prefill hardly delays them. */
const MIN_COLOCATED_SENSITIVITY = 0.3
/** An engine with a larger share of taken slots is avoided: requests sent by other entries meanwhile are not counted yet. */
const PENALTY_FROM_SLOT_SHARE = 0.6
/** The share of an engine's slots that is filled. Beyond it the engine would preempt requests for more urgent ones. */
const USABLE_SLOT_SHARE = 0.95
/** The prefill of this many tokens fits into one engine step, which doesn't interrupt streams. */
const SINGLE_STEP_TOKENS = 1000

/** A shared prefix with fewer tokens is neither copied nor reported to other entries. */
export const MIN_COPY_TOKENS = 1000

/** An endpoint with its cost and the main values behind it. */
export interface Candidate {
  endpoint: EndpointState
  cost: number
  /** Prompt tokens that need prefill at the endpoint: they are neither cached there nor copied. */
  unreadTokens: number
  /** The rank of the request at the endpoint; 0 goes first. */
  urgency: number
  /** Prompt tokens that the endpoint copies from `source`, without prefill. */
  copiedTokens: number
  /** Another endpoint that has more of the prompt cached; undefined if none has enough more for a copy. */
  source: EndpointState | undefined
  /** The predicted time to the first event, in ms: its prefill and that of queued requests that are at least as urgent. */
  waitMs: number
  /** Whether this is the affinity endpoint of the prompt in its region. */
  isAffinityEndpoint: boolean
  /** Why the request goes to another region; undefined if it stays in its own. */
  crossRegion?: CrossRegionChoice
}

/** How many tokens of a prompt an endpoint has cached. */
interface CachedPrefix {
  endpoint: EndpointState
  tokens: number
}

/** Chooses the endpoint with the lowest cost; undefined if no endpoint can accept the request. */
export function choose (
  request: ChoiceRequest, endpoints: readonly EndpointState[], now: number, weights = DEFAULT_WEIGHTS
): Candidate | undefined {
  const candidates = scoreEndpoints(request, endpoints, now, weights)
  const chosen = candidates.reduce<Candidate | undefined>((best, candidate) => (
    best === undefined || candidate.cost < best.cost ? candidate : best
  ), undefined)
  return chosen === undefined ? undefined : { ...chosen, crossRegion: crossRegionChoiceOf(request, chosen, candidates) }
}

/** Returns the cost of every endpoint that can accept the request. */
export function scoreEndpoints (
  request: ChoiceRequest, endpoints: readonly EndpointState[], now: number, weights = DEFAULT_WEIGHTS
): Candidate[] {
  const { prompt, copySources, isAffinityTrusted } = request
  const affinityEndpointNear = findPerRegion(request, request.affinityEndpoints ?? endpoints, (group) => (
    request.affinityEndpoints === undefined ? affinityEndpointFor(request, group) : group[0]
  ))
  const cachedPrefixes = endpoints.map((endpoint) => ({ endpoint, tokens: endpoint.prefixCache.cachedTokens(prompt) }))
  const sourceNear = findPerRegion(request, copySources, (group) => bestSource(prompt, group, now))
  const sharedTokens = sharedPrefixTokens(prompt)
  const total = tokensOf(prompt)
  return cachedPrefixes.filter(({ endpoint }) => canAccept(request, endpoint)).map(({ endpoint, tokens }): Candidate => {
    const isAffinityEndpoint = endpoint === affinityEndpointNear(endpoint)
    const best = sourceNear(endpoint)
    const cachedTokens = Math.max(tokens, isAffinityEndpoint && isAffinityTrusted ? sharedTokens : 0)
    const source = best !== undefined && best.endpoint !== endpoint && best.tokens >= tokens + MIN_COPY_TOKENS ? best : undefined
    const copiedTokens = Math.max(0, (source?.tokens ?? 0) - cachedTokens)
    const unreadTokens = total - cachedTokens - copiedTokens
    const tokensToPrefill = unreadTokens + pendingTokens(endpoint, request, now)
    const urgency = urgencyOf({ tier: request.tier, unreadTokens: tokensToPrefill, isResumed: request.isResumed })
    const { tokensPerMs } = endpoint.prefill
    const aheadMs = endpoint.tokensAhead(urgency) / tokensPerMs
    const waitMs = unreadTokens / tokensPerMs + aheadMs
    const cost = weights.prefillWeight * unreadTokens / tokensPerMs +
      weights.copyWeight * copiedTokens / tokensPerMs +
      (isAffinityEndpoint || tokens > 0 ? 0 : weights.notAffinity) +
      aheadMs + weights.lateFirstEvent * lateProbability(waitMs, request.firstEventTargetMs) +
      weights.delayedStream * delayedStreams(endpoint, unreadTokens) +
      loadCost(endpoint, request, now, weights)
    return { endpoint, isAffinityEndpoint, unreadTokens, urgency, copiedTokens, source: source?.endpoint, waitMs, cost }
  })
}

/**
 * Returns the prompt tokens whose prefill is still pending at an endpoint for an earlier request. A request that overtakes the
 * earlier one would repeat that prefill.
 */
function pendingTokens ({ prefixCache }: EndpointState, { prompt }: ChoiceRequest, now: number): number {
  return prefixCache.cachedTokens(prompt) - prefixCache.copyableTokens(prompt, now)
}

/**
 * Whether an endpoint can accept the request: the request wasn't sent there before, the link to its region has capacity, and
 * an engine has a slot and memory for it. Requests of tier 0 and resumed streams go first, and need neither slot nor memory.
 */
export function canAccept (request: ChoiceRequest, endpoint: EndpointState): boolean {
  const { excluded, needsSlot, tier, isResumed, size } = request
  if (!hasLinkCapacity(request, endpoint)) return false
  if (excluded.has(endpoint.description.incarnation)) return false
  const goesFirst = tier === 0 || isResumed
  if (!needsSlot || goesFirst) return true
  return hasFreeSlot(endpoint) && (size === undefined || fitsMemory(endpoint.memoryShareWith(size)))
}

/** Whether an engine has a free slot for a request that doesn't go first. */
export function hasFreeSlot (endpoint: EndpointState): boolean {
  return takenSlotShare(endpoint) < USABLE_SLOT_SHARE
}

/** Returns the share of taken slots; 0 if the endpoint doesn't report how many slots it has. */
function takenSlotShare ({ description: { slots }, running }: EndpointState): number {
  return slots > 0 ? running / slots : 0
}

/** Estimates the probability, from 0 to 1, that a first event predicted after `waitMs` misses its target. */
function lateProbability (waitMs: number, targetMs: number): number {
  if (targetMs <= 0) return 0
  return Math.min(1, Math.max(0, (waitMs / targetMs - LATE_RISK_FROM_TARGETS) / (LATE_CERTAIN_AT_TARGETS - LATE_RISK_FROM_TARGETS)))
}

/** Estimates the sum of the pause sensitivities of the streams that the prefill of some tokens and of the backlog delays. */
function delayedStreams ({ pauseSensitivity, prefill, backlogTokens }: EndpointState, unreadTokens: number): number {
  const prefillMs = (backlogTokens + unreadTokens) / prefill.tokensPerMs
  return pauseSensitivity * delayedStreamShare(prefillMs) * Math.min(1, unreadTokens / SINGLE_STEP_TOKENS)
}

/** Returns the id of the deepest prompt part that other requests share; that of the only part if there is just one. */
export function sharedPrefixIdOf (prompt: readonly PromptPart[]): string | undefined {
  return (prompt.at(-2) ?? prompt.at(-1))?.id
}

/** Returns the number of tokens in the shared prefix of a prompt: all parts but the last. */
export function sharedPrefixTokens (prompt: readonly PromptPart[]): number {
  return tokensOf(prompt.slice(0, -1))
}

function tokensOf (prompt: readonly PromptPart[]): number {
  return prompt.reduce((tokens, part) => tokens + part.tokens, 0)
}

/** Returns the affinity endpoint of a prompt among some endpoints. */
export function affinityEndpointFor (request: ChoiceRequest, endpoints: readonly EndpointState[]): EndpointState | undefined {
  return selectAffinityEndpoint(request.prompt, affinityCandidates(request, endpoints))
}

function selectAffinityEndpoint (prompt: readonly PromptPart[], endpoints: readonly EndpointState[]): EndpointState | undefined {
  const sharedPrefixId = sharedPrefixIdOf(prompt)
  return sharedPrefixId === undefined
    ? undefined
    : selectByRendezvous(sharedPrefixId, endpoints, (endpoint) => endpoint.description.incarnation)
}

/** Returns the healthy endpoint from which the longest prefix of the prompt can be copied. */
function bestSource (prompt: readonly PromptPart[], endpoints: readonly EndpointState[], now: number): CachedPrefix | undefined {
  let best: CachedPrefix | undefined
  for (const endpoint of endpoints) {
    const tokens = endpoint.prefixCache.copyableTokens(prompt, now)
    const isHealthy = !isUnhealthy(endpoint, now) && endpoint.othersLoad.unreachable === 0
    if (isHealthy && tokens > (best?.tokens ?? 0)) best = { endpoint, tokens }
  }
  return best
}

function isUnhealthy (endpoint: EndpointState, now: number): boolean {
  return endpoint.isEjected(now) || endpoint.isSilent(now)
}

/** Returns the part of the cost that depends neither on the tokens to prefill or to copy nor on the backlog. */
function loadCost (endpoint: EndpointState, request: ChoiceRequest, now: number, weights: ChoiceWeights): number {
  const distance = distanceCostMs(request, endpoint, weights.otherDataCentre)
  const failures = endpoint.failureShare * weights.failures + endpoint.unreachableShare * weights.unreachable +
    (request.isSingleAttempt === true ? weights.failuresSingleAttempt * endpoint.outcomes.excessFailureShareAt(now) : 0)
  const unhealthyCost = isUnhealthy(endpoint, now) ? weights.unhealthy : 0
  return weights.perRunningRequest * endpoint.running + streamCost(endpoint, request, weights) + slotUtilisationCost(endpoint, weights) +
    memoryCost(endpoint, request, weights) +
    reservationCost(endpoint, request, weights) + distance + failures + unhealthyCost
}

/** Returns the endpoints for rendezvous hashing: reserved engines for pause-sensitive streams, the others otherwise. */
function affinityCandidates ({ isPauseSensitive, reserved }: ChoiceRequest, endpoints: readonly EndpointState[]): readonly EndpointState[] {
  if (reserved.size === 0) return endpoints
  const candidates = endpoints.filter((endpoint) => reserved.has(endpoint) === isPauseSensitive)
  return candidates.length > 0 ? candidates : endpoints
}

function reservationCost (endpoint: EndpointState, request: ChoiceRequest, weights: ChoiceWeights): number {
  const { isPauseSensitive, reserved } = request
  if (reserved.size === 0 || reserved.has(endpoint) === isPauseSensitive || !hasReservedInRegion(request, endpoint)) return 0
  return isPauseSensitive ? weights.notReserved : weights.reserved
}

/**
 * For pause-sensitive streams, engines with little prefill and with other such streams cost less: the remaining engines are
 * then free for prefill.
 */
function streamCost (
  { prefill, pauseSensitivity: engineSensitivity }: EndpointState, { maxPauseMs }: ChoiceRequest, weights: ChoiceWeights
): number {
  const sensitivity = pauseSensitivityOf(maxPauseMs, prefill.pauseMs)
  const colocationReduction = sensitivity > MIN_COLOCATED_SENSITIVITY ? weights.streamColocation * engineSensitivity : 0
  return weights.streamBesidePrefill * sensitivity * prefill.busyShare - colocationReduction
}

/** Rises with the square of the memory utilisation that the request would cause. */
function memoryCost (endpoint: EndpointState, { needsSlot, size }: ChoiceRequest, weights: ChoiceWeights): number {
  return needsSlot && size !== undefined ? weights.fullMemory * memoryUtilisationPenalty(endpoint.memoryShareWith(size)) : 0
}

/** Rises with the square of the slot utilisation, up to the weight when no slot is free. */
function slotUtilisationCost (endpoint: EndpointState, weights: ChoiceWeights): number {
  const excess = Math.max(0, (takenSlotShare(endpoint) - PENALTY_FROM_SLOT_SHARE) / (1 - PENALTY_FROM_SLOT_SHARE))
  return weights.fullSlots * excess ** 2
}
