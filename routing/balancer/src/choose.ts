/** The choice of an endpoint: each candidate has a cost in ms, and the least cost wins. */
import { distanceCostMs, hasLinkCapacity, crossRegionChoiceOf, findPerRegion, hasReservedInRegion, type RegionContext, type CrossRegionChoice } from './cross-region.ts'
import { fitsMemory, memoryUtilisationPenalty, type RequestSize } from './engine-memory.ts'
import { type EndpointState } from './endpoint-state.ts'
import { type PromptPart } from './prefix-cache-model.ts'
import { selectByRendezvous } from './rendezvous.ts'
import { delayedStreamShare, pauseSensitivityOf } from './pause-sensitivity.ts'
import { urgencyOf } from './urgency.ts'

/** What the choice must know of a request. */
export interface ChoiceRequest {
  /** The parts of the prompt, in order; none where the request has no prompt. */
  prompt: readonly PromptPart[]
  dataCentre: string
  /** What is known of regions; none where there is only one. */
  regions?: RegionContext
  tier: number
  /** Whether the caller has had a part of its stream already. */
  isResumed: boolean
  /** Whether the endpoints are engines, which put requests back for more urgent ones once their slots are taken. */
  needsSlot: boolean
  /** Whether an attempt that fails is the end of it. */
  isSingleAttempt?: boolean
  /** When its first event is due, in ms. */
  targetMs: number
  /** The longest pause between events that it bears, in ms; none where the route sets none. */
  maxPauseMs: number | undefined
  /** Endpoints that have had this request already. */
  excluded: ReadonlySet<string>
  /** Endpoints that others can copy parts of prompts from. */
  copySources: readonly EndpointState[]
  /** The home of the prompt's subject in each region, where not all endpoints are weighed; looked for among them otherwise. */
  affinityEndpoints?: readonly EndpointState[] | undefined
  /**
   * Whether the home of a subject is taken to keep it although nobody has told so: an entry that has just started knows
   * nothing of what was sent before.
   */
  isAffinityTrusted: boolean
  /** Whether it is a stream that is sensitive to reading, and reads little itself. */
  isPauseSensitive: boolean
  /** What it will hold of an engine's memory; where it is not said, memory is taken to have room. */
  size?: RequestSize | undefined
  /** Engines that are kept free of long reads for such streams. */
  reserved: ReadonlySet<EndpointState>
}

/** The weights of the costs, in ms unless the name says otherwise. */
export interface ChoiceWeights {
  /** How many times the time to read counts: what is read twice is lost for all. */
  prefillWeight: number
  /** How many times the tokens to copy count, against tokens read once. */
  copyWeight: number
  /** For an endpoint that is not the home of a subject that nobody keeps. */
  notAffinity: number
  /** For a first event that will probably be late. */
  lateFirstEvent: number
  /** For each request that runs there. */
  perRunningRequest: number
  /** For a stream of strain 1 that the reading of this prompt spoils. */
  delayedStream: number
  /** For a stream of strain 1 at an engine that reads all the time. */
  streamBesidePrefill: number
  /** What a strained stream prefers an engine for each strain that streams there have already: they go together. */
  streamColocation: number
  /** For a sensitive stream at an engine that is not reserved. */
  notReserved: number
  /** For any other prompt at an engine that is reserved. */
  reserved: number
  /** For an engine all of whose slots are taken. */
  fullSlots: number
  /** For an engine all of whose memory is taken: as much as reading a prompt of 9,000 tokens once more. */
  fullMemory: number
  /** For an endpoint in another data centre of the same region. */
  otherDataCentre: number
  /** For a share of failures of 1. */
  failures: number
  /**
   * For a request that may not be repeated, at an endpoint that fails all it takes: an engine that fails half of them costs
   * more than one that is not reserved (1,000).
   */
  failuresSingleAttempt: number
  /**
   * For an endpoint that no other entry can connect to: more than twice what reading a shared part of 13,000 tokens costs
   * elsewhere (4,400 ms), so that a dead home is left. Not varied.
   */
  unreachable: number
  /** For an endpoint that is silent or was unreachable; higher than anything else. */
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

/** From this share of its target on, a first event is the likelier to be late the longer it will take. */
const LATE_FROM_TARGETS = 0.6
/** From here on it is taken to be late: predictions are too short where many send at once. */
const LATE_AT_TARGETS = 1.2
/** Streams of less strain are not taken together: reading does little to them. */
const STRAINED = 0.3
/** From this share of its slots on, an engine is avoided: what others send meanwhile comes on top. */
const CROWDED_SLOTS = 0.6
/** The share of an engine's slots that is used; beyond them it would put requests back for more urgent ones. */
const USABLE_SLOTS = 0.95
/** A prompt with so few tokens to read is read within one step, beside which streams go on. */
const HARMLESS_TOKENS = 1000

/** Fewer shared tokens are not worth a copy, nor word of where they are kept. */
export const MIN_COPY_TOKENS = 1000

/** A candidate with its cost and what went into it. */
export interface Candidate {
  endpoint: EndpointState
  cost: number
  unreadTokens: number
  /** Its rank at the endpoint. */
  urgency: number
  /** Tokens that the endpoint copies from `source` instead of reading them. */
  copiedTokens: number
  /** Another endpoint that is known to keep more of the prompt. */
  source: EndpointState | undefined
  /** How long the first event will probably take: what waits there and is as urgent is read first. In ms. */
  waitMs: number
  isAffinityEndpoint: boolean
  /** Why the request leaves its region; none where it stays. */
  crossRegion?: CrossRegionChoice
}

/** Who keeps how much of a prompt. */
interface Holding {
  endpoint: EndpointState
  tokens: number
}

/** Chooses among the endpoints of a service; none if all are excluded. */
export function choose (
  demand: ChoiceRequest, endpoints: readonly EndpointState[], now: number, weights = DEFAULT_WEIGHTS
): Candidate | undefined {
  const candidates = scoreEndpoints(demand, endpoints, now, weights)
  const chosen = candidates.reduce<Candidate | undefined>((best, candidate) => (
    best === undefined || candidate.cost < best.cost ? candidate : best
  ), undefined)
  return chosen === undefined ? undefined : { ...chosen, crossRegion: crossRegionChoiceOf(demand, chosen, candidates) }
}

/** Gives the cost of every endpoint that may have the request. */
export function scoreEndpoints (
  demand: ChoiceRequest, endpoints: readonly EndpointState[], now: number, weights = DEFAULT_WEIGHTS
): Candidate[] {
  const { prompt, copySources, isAffinityTrusted } = demand
  const homeNear = findPerRegion(demand, demand.affinityEndpoints ?? endpoints, (group) => (
    demand.affinityEndpoints === undefined ? affinityEndpointFor(demand, group) : group[0]
  ))
  const holdings = endpoints.map((endpoint) => ({ endpoint, tokens: endpoint.prefixCache.cachedTokens(prompt) }))
  const sourceNear = findPerRegion(demand, copySources, (group) => bestSource(prompt, group, now))
  const shared = sharedPrefixTokens(prompt)
  const total = tokensOf(prompt)
  return holdings.filter(({ endpoint }) => canAccept(demand, endpoint)).map(({ endpoint, tokens }): Candidate => {
    const isHome = endpoint === homeNear(endpoint)
    const best = sourceNear(endpoint)
    const kept = Math.max(tokens, isHome && isAffinityTrusted ? shared : 0)
    const source = best !== undefined && best.endpoint !== endpoint && best.tokens >= tokens + MIN_COPY_TOKENS ? best : undefined
    const copiedTokens = Math.max(0, (source?.tokens ?? 0) - kept)
    const unreadTokens = total - kept - copiedTokens
    const toRead = unreadTokens + pendingTokens(endpoint, demand, now)
    const urgency = urgencyOf({ tier: demand.tier, unreadTokens: toRead, isResumed: demand.isResumed })
    const { tokensPerMs } = endpoint.prefill
    const aheadMs = endpoint.tokensAhead(urgency) / tokensPerMs
    const waitMs = unreadTokens / tokensPerMs + aheadMs
    const cost = weights.prefillWeight * unreadTokens / tokensPerMs +
      weights.copyWeight * copiedTokens / tokensPerMs +
      (isHome || tokens > 0 ? 0 : weights.notAffinity) +
      aheadMs + weights.lateFirstEvent * lateShare(waitMs, demand.targetMs) +
      weights.delayedStream * spoiltStreams(endpoint, unreadTokens) +
      loadCost(endpoint, demand, now, weights)
    return { endpoint, isAffinityEndpoint: isHome, unreadTokens, urgency, copiedTokens, source: source?.endpoint, waitMs, cost }
  })
}

/**
 * Shared tokens that were sent to an endpoint with another request and are not read there yet. A request that overtook that
 * one would read them a second time.
 */
function pendingTokens ({ prefixCache }: EndpointState, { prompt }: ChoiceRequest, now: number): number {
  return prefixCache.cachedTokens(prompt) - prefixCache.copyableTokens(prompt, now)
}

/** Whether an endpoint may have the request: it has not had it, and an engine has room for it. */
export function canAccept (demand: ChoiceRequest, endpoint: EndpointState): boolean {
  const { excluded, needsSlot, tier, isResumed, size } = demand
  if (!hasLinkCapacity(demand, endpoint)) return false
  if (excluded.has(endpoint.description.incarnation)) return false
  const goesFirst = tier === 0 || isResumed
  if (!needsSlot || goesFirst) return true
  return hasFreeSlot(endpoint) && (size === undefined || fitsMemory(endpoint.memoryShareWith(size)))
}

/** Whether an engine has a slot for a request that does not go before others. */
export function hasFreeSlot (endpoint: EndpointState): boolean {
  return takenSlots(endpoint) < USABLE_SLOTS
}

/** The share of its slots that is taken; 0 where an endpoint does not say how many it has. */
function takenSlots ({ description: { slots }, running }: EndpointState): number {
  return slots > 0 ? running / slots : 0
}

/** How likely a first event is late that will probably take so long; from 0 to 1. */
function lateShare (waitMs: number, targetMs: number): number {
  if (targetMs <= 0) return 0
  return Math.min(1, Math.max(0, (waitMs / targetMs - LATE_FROM_TARGETS) / (LATE_AT_TARGETS - LATE_FROM_TARGETS)))
}

/** How many streams of strain 1 the reading of so many tokens spoils, with what waits to be read before and after it. */
function spoiltStreams ({ pauseSensitivity, prefill, backlogTokens }: EndpointState, unreadTokens: number): number {
  const readMs = (backlogTokens + unreadTokens) / prefill.tokensPerMs
  return pauseSensitivity * delayedStreamShare(readMs) * Math.min(1, unreadTokens / HARMLESS_TOKENS)
}

/** The subject of a prompt: its deepest part that other requests share. */
export function sharedPrefixIdOf (prompt: readonly PromptPart[]): string | undefined {
  return (prompt.at(-2) ?? prompt.at(-1))?.id
}

/** The tokens of a prompt up to and including its subject. */
export function sharedPrefixTokens (prompt: readonly PromptPart[]): number {
  return tokensOf(prompt.slice(0, -1))
}

function tokensOf (prompt: readonly PromptPart[]): number {
  return prompt.reduce((tokens, part) => tokens + part.tokens, 0)
}

/** The endpoint that keeps the subject of a prompt. */
export function affinityEndpointFor (demand: ChoiceRequest, endpoints: readonly EndpointState[]): EndpointState | undefined {
  return homeOf(demand.prompt, homesFor(demand, endpoints))
}

function homeOf (prompt: readonly PromptPart[], endpoints: readonly EndpointState[]): EndpointState | undefined {
  const subject = sharedPrefixIdOf(prompt)
  return subject === undefined ? undefined : selectByRendezvous(subject, endpoints, (endpoint) => endpoint.description.incarnation)
}

/** The endpoint that answers and has read most of the prompt before. */
function bestSource (prompt: readonly PromptPart[], endpoints: readonly EndpointState[], now: number): Holding | undefined {
  let best: Holding | undefined
  for (const endpoint of endpoints) {
    const tokens = endpoint.prefixCache.copyableTokens(prompt, now)
    const answers = !isSuspect(endpoint, now) && endpoint.othersLoad.unreachable === 0
    if (answers && tokens > (best?.tokens ?? 0)) best = { endpoint, tokens }
  }
  return best
}

function isSuspect (endpoint: EndpointState, now: number): boolean {
  return endpoint.isEjected(now) || endpoint.isSilent(now)
}

/** The cost of an endpoint whatever the prompt, but for what waits there. */
function loadCost (endpoint: EndpointState, demand: ChoiceRequest, now: number, weights: ChoiceWeights): number {
  const distance = distanceCostMs(demand, endpoint, weights.otherDataCentre)
  const failures = endpoint.failureShare * weights.failures + endpoint.unreachableShare * weights.unreachable +
    (demand.isSingleAttempt === true ? weights.failuresSingleAttempt * endpoint.outcomes.excessFailureShareAt(now) : 0)
  const suspicion = isSuspect(endpoint, now) ? weights.unhealthy : 0
  return weights.perRunningRequest * endpoint.running + streamCost(endpoint, demand, weights) + crowdingCost(endpoint, weights) +
    memoryCost(endpoint, demand, weights) +
    reservationCost(endpoint, demand, weights) + distance + failures + suspicion
}

/** The engines among which a prompt has its home: the reserved ones for sensitive streams, the others for all else. */
function homesFor ({ isPauseSensitive, reserved }: ChoiceRequest, endpoints: readonly EndpointState[]): readonly EndpointState[] {
  if (reserved.size === 0) return endpoints
  const homes = endpoints.filter((endpoint) => reserved.has(endpoint) === isPauseSensitive)
  return homes.length > 0 ? homes : endpoints
}

function reservationCost (endpoint: EndpointState, demand: ChoiceRequest, weights: ChoiceWeights): number {
  const { isPauseSensitive, reserved } = demand
  if (reserved.size === 0 || reserved.has(endpoint) === isPauseSensitive || !hasReservedInRegion(demand, endpoint)) return 0
  return isPauseSensitive ? weights.notReserved : weights.reserved
}

/** Strained streams go where little is read, and together, so that the other engines can read. */
function streamCost (
  { prefill, pauseSensitivity: strainThere }: EndpointState, { maxPauseMs }: ChoiceRequest, weights: ChoiceWeights
): number {
  const strain = pauseSensitivityOf(maxPauseMs, prefill.pauseMs)
  const company = strain > STRAINED ? weights.streamColocation * strainThere : 0
  return weights.streamBesidePrefill * strain * prefill.busyShare - company
}

/** Rises with the square of the memory that would be taken. */
function memoryCost (endpoint: EndpointState, { needsSlot, size }: ChoiceRequest, weights: ChoiceWeights): number {
  return needsSlot && size !== undefined ? weights.fullMemory * memoryUtilisationPenalty(endpoint.memoryShareWith(size)) : 0
}

/** Rises with the square of the taken slots, up to the weight where all are taken. */
function crowdingCost (endpoint: EndpointState, weights: ChoiceWeights): number {
  const crowding = Math.max(0, (takenSlots(endpoint) - CROWDED_SLOTS) / (1 - CROWDED_SLOTS))
  return weights.fullSlots * crowding ** 2
}
