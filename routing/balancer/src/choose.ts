/** The choice of an endpoint: each candidate has a cost in ms, and the least cost wins. */
import { type EndpointState } from './endpoint-state.ts'
import { type PromptPart } from './prefix-memory.ts'
import { rendezvousFirst } from './rendezvous.ts'
import { urgencyOf } from './urgency.ts'

/** What the choice must know of a request. */
export interface Demand {
  /** The parts of the prompt, in order; none where the request has no prompt. */
  prompt: readonly PromptPart[]
  dataCentre: string
  tier: number
  /** Whether the caller has had a part of its stream already. */
  isResumed: boolean
  /** How little its stream bears that prompts are read beside it; see `strainOf`. */
  strain: number
  /** Endpoints that have had this request already. */
  excluded: ReadonlySet<string>
  /** Endpoints that others can copy parts of prompts from. */
  sources: readonly EndpointState[]
  /**
   * Whether the home of a subject is taken to keep it although nobody has told so: an entry that has just started knows
   * nothing of what was sent before.
   */
  trustsHome: boolean
}

/** The weights of the costs, in ms unless the name says otherwise. */
export interface ChoiceWeights {
  /** How fast an engine reads prompts. */
  readTokensPerMs: number
  /** How many times the tokens to read count: what is read twice is lost for all. */
  readWeight: number
  /** How many times the tokens to copy count, against tokens read once. */
  copyWeight: number
  /** For an endpoint that is not the home of a subject that nobody keeps. */
  notHome: number
  /** For each request that runs there. */
  perRunning: number
  /** How many times the time to read a prompt counts for each strain of the streams that run there. */
  readBesideStreams: number
  /** For a stream of strain 1 at an engine that always reads. */
  streamBesideReads: number
  /** For an endpoint in another data centre. */
  otherDataCentre: number
  /** For a share of failures of 1. */
  failures: number
  /** For an endpoint that is silent or was unreachable; higher than anything else. */
  suspect: number
}

export const DEFAULT_WEIGHTS: ChoiceWeights = {
  readTokensPerMs: 36,
  readWeight: 12,
  copyWeight: 2,
  notHome: 200,
  perRunning: 2,
  readBesideStreams: 1,
  streamBesideReads: 1000,
  otherDataCentre: 20,
  failures: 400,
  suspect: 100_000
}

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
  isHome: boolean
}

/** Who keeps how much of a prompt. */
interface Holding {
  endpoint: EndpointState
  tokens: number
}

/** Chooses among the endpoints of a service; none if all are excluded. */
export function choose (
  demand: Demand, endpoints: readonly EndpointState[], now: number, weights = DEFAULT_WEIGHTS
): Candidate | undefined {
  const candidates = weigh(demand, endpoints, now, weights)
  return candidates.reduce<Candidate | undefined>((best, candidate) => (
    best === undefined || candidate.cost < best.cost ? candidate : best
  ), undefined)
}

/** Gives the cost of every endpoint that may have the request. */
export function weigh (demand: Demand, endpoints: readonly EndpointState[], now: number, weights = DEFAULT_WEIGHTS): Candidate[] {
  const { prompt, sources, trustsHome } = demand
  const home = homeOf(prompt, endpoints)
  const holdings = endpoints.map((endpoint) => ({ endpoint, tokens: endpoint.prefixes.cachedTokens(prompt) }))
  const best = bestSource(prompt, sources, now)
  const shared = sharedTokens(prompt)
  const total = tokensOf(prompt)
  return holdings.filter(({ endpoint }) => !demand.excluded.has(endpoint.description.incarnation)).map(({ endpoint, tokens }) => {
    const isHome = endpoint === home
    const kept = Math.max(tokens, isHome && trustsHome ? shared : 0)
    const source = best !== undefined && best.endpoint !== endpoint && best.tokens >= tokens + MIN_COPY_TOKENS ? best : undefined
    const copiedTokens = Math.max(0, (source?.tokens ?? 0) - kept)
    const unreadTokens = total - kept - copiedTokens
    const urgency = urgencyOf({ tier: demand.tier, unreadTokens, isResumed: demand.isResumed })
    const aheadMs = endpoint.tokensAhead(urgency) / weights.readTokensPerMs
    const waitMs = unreadTokens / weights.readTokensPerMs + aheadMs
    const cost = weights.readWeight * unreadTokens / weights.readTokensPerMs +
      weights.copyWeight * copiedTokens / weights.readTokensPerMs +
      (isHome || tokens > 0 ? 0 : weights.notHome) +
      weights.readBesideStreams * endpoint.strain * unreadTokens / weights.readTokensPerMs +
      aheadMs + loadCost(endpoint, demand, now, weights)
    return { endpoint, isHome, unreadTokens, urgency, copiedTokens, source: source?.endpoint, waitMs, cost }
  })
}

/** A stream with this target for its pauses has a strain of 1, in ms. */
const STRAIN_PAUSE_MS = 200

/** The strain of a stream: 0 where pauses don't matter, and the more the shorter they must be. */
export function strainOf (pauseMs: number | undefined): number {
  return pauseMs === undefined ? 0 : (STRAIN_PAUSE_MS / pauseMs) ** 2
}

/** The subject of a prompt: its deepest part that other requests share. */
export function subjectOf (prompt: readonly PromptPart[]): string | undefined {
  return (prompt.at(-2) ?? prompt.at(-1))?.id
}

/** The tokens of a prompt up to and including its subject. */
export function sharedTokens (prompt: readonly PromptPart[]): number {
  return tokensOf(prompt.slice(0, -1))
}

function tokensOf (prompt: readonly PromptPart[]): number {
  return prompt.reduce((tokens, part) => tokens + part.tokens, 0)
}

function homeOf (prompt: readonly PromptPart[], endpoints: readonly EndpointState[]): EndpointState | undefined {
  const subject = subjectOf(prompt)
  return subject === undefined ? undefined : rendezvousFirst(subject, endpoints, (endpoint) => endpoint.description.incarnation)
}

/** The endpoint that answers and has read most of the prompt before. */
function bestSource (prompt: readonly PromptPart[], endpoints: readonly EndpointState[], now: number): Holding | undefined {
  let best: Holding | undefined
  for (const endpoint of endpoints) {
    const tokens = endpoint.prefixes.copyableTokens(prompt, now)
    if (tokens > (best?.tokens ?? 0) && !isSuspect(endpoint, now)) best = { endpoint, tokens }
  }
  return best
}

function isSuspect (endpoint: EndpointState, now: number): boolean {
  return endpoint.isEjected(now) || endpoint.isSilent(now)
}

/** The cost of an endpoint whatever the prompt, but for what waits there. */
function loadCost (endpoint: EndpointState, demand: Demand, now: number, weights: ChoiceWeights): number {
  const running = endpoint.running * weights.perRunning + demand.strain * endpoint.readShare * weights.streamBesideReads
  const distance = endpoint.description.dataCentre === demand.dataCentre ? 0 : weights.otherDataCentre
  const failures = endpoint.failureShare * weights.failures
  const suspicion = isSuspect(endpoint, now) ? weights.suspect : 0
  return running + distance + failures + suspicion
}
