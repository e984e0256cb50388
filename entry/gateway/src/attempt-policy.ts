/**
 * What is decided about one request: whether it is sent at all, what follows each attempt, and when an endpoint that says
 * nothing is given up. Decisions only; `request-forwarder.ts` carries them out.
 */
import { type Candidate, type RetryBudget, type InFlightRequest } from '@gullwall/routing.balancer'
import { type AttemptOutcome } from './attempt-response-receiver.ts'
import { type AttemptHistory } from './attempt-history.ts'
import { isRepeatable, type Call } from './call.ts'
import { type ExchangeHead } from './exchange.ts'

/** A first event that would take so many times its target is not waited for: callers that are told come back in time more often. */
const HOPELESS_TARGETS = 1
/** So many endpoints that can't be connected to are left for others in any case. */
const MIN_UNSENT = 5
/** Further ones for so many times the target of the request; a caller who is refused then still has time to ask again. */
const UNSENT_TARGETS = 1
/** A repeatable call without an answer after so many times its target is tried elsewhere. */
const SLOW_TARGETS = 1.5
/** No call is taken to be slow before this time; it is also how often an attempt is looked at. In ms. */
export const WATCH_INTERVAL_MS = 250
/** A stream without an event for so long is given up if its endpoint says nothing to anybody, in ms. */
const STALL_MS = 1200

/** Whether a request is sent to the best candidate, or had better come back. */
export type Admission =
  | { type: 'send' }
  | { type: 'refuse', reason: string, retryAfterMs: number }

/** What follows an attempt. */
export type NextStep =
  /** The caller has its answer, or has left. */
  | { type: 'over' }
  | { type: 'again', reason: string, budgetLeft: number }
  /** It has not run and is not tried again. */
  | { type: 'refuse', reason: string }
  /** The endpoint's own failure goes to the caller. */
  | { type: 'pass-failure', head: ExchangeHead, body: Buffer, reason: string }
  /** It may have run and has no answer. */
  | { type: 'fail', code: string, reason: string }

export interface RequestState {
  call: Call
  history: AttemptHistory
  budget: RetryBudget
  /** For how long a wait requests that are no more urgent than this one are still taken, in ms. */
  acceptableWaitMs: number
}

/**
 * Refuses what has not been sent and would be late by so much that it had better come back: served late it earns little
 * and makes those behind it late too. The most urgent are never refused so, and none for a wait at which less urgent ones
 * are still taken.
 */
export function admit ({ call, history, acceptableWaitMs }: RequestState, { waitMs }: Candidate): Admission {
  const { tier, prompt, route } = call
  const isBound = history.mayHaveRun || prompt.length === 0 || tier === 0
  if (isBound || waitMs <= HOPELESS_TARGETS * acceptableWaitMs) return { type: 'send' }
  return { type: 'refuse', reason: `the first event would take ${Math.round(waitMs)} ms of ${route.targetMs}`, retryAfterMs: waitMs - route.targetMs }
}

/** Decides what follows an attempt, and notes it in the history of the request. */
export function decideNextStep (state: RequestState, incarnation: string, end: AttemptOutcome, now = performance.now()): NextStep {
  const { call, history } = state
  switch (end.type) {
    case 'answered':
    case 'cancelled':
      return { type: 'over' }
    case 'unsent':
      history.recordUnsent(incarnation)
      return afterUnsent(state, end.reason, now)
    case 'withheld':
      return { type: 'again', reason: `not sent: ${end.reason}`, budgetLeft: state.budget.remaining }
    case 'not-run':
      history.recordNotRun(incarnation)
      return afterNotRun(state, end.reason)
    case 'failed':
      history.recordRun(incarnation)
      return isRepeatable(call)
        ? sendAgain(state, `answered ${end.head.status}`, (why) => ({ type: 'pass-failure', head: end.head, body: end.body, reason: why }))
        : { type: 'pass-failure', head: end.head, body: end.body, reason: 'it runs at most once' }
    case 'broken':
      history.recordRun(incarnation)
      return isRepeatable(call)
        ? sendAgain(state, end.reason, (why) => ({ type: 'fail', code: 'ERR_GULLWALL_BROKEN', reason: why }))
        : { type: 'fail', code: 'ERR_GULLWALL_UNKNOWN_OUTCOME', reason: end.reason }
  }
}

/**
 * Nothing has reached an endpoint, so that another attempt is no repeat and costs no budget. Where many endpoints have died
 * at once, several in a row may be dead before one that lives.
 */
function afterUnsent ({ call, history, budget }: RequestState, why: string, now: number): NextStep {
  const isLate = now - call.arrivedAt >= UNSENT_TARGETS * call.route.targetMs
  if (history.unsentCount >= MIN_UNSENT && isLate) return { type: 'refuse', reason: `${history.unsentCount} endpoints could not be reached: ${why}` }
  return { type: 'again', reason: `not sent: ${why}`, budgetLeft: budget.remaining }
}

function afterNotRun (state: RequestState, why: string): NextStep {
  const { history } = state
  if (!history.canTryAnotherEndpoint) return { type: 'refuse', reason: `not run ${history.notRunCount} times: ${why}` }
  return sendAgain(state, why, (told) => ({ type: 'refuse', reason: told }))
}

/** Sends once more if attempts and budget allow it; else ends as told, with the reason. */
function sendAgain ({ call, history, budget }: RequestState, why: string, otherwise: (why: string) => NextStep): NextStep {
  if (!history.canRunAgain) return otherwise(`${why}; ${history.sentCount} of ${call.route.maxAttempts} attempts made`)
  if (!budget.tryTake()) return otherwise(`${why}; no retry budget left`)
  return { type: 'again', reason: why, budgetLeft: budget.remaining }
}

export interface RunningAttempt extends RequestState {
  candidate: Candidate
  inFlightRequest: InFlightRequest
  /** When an event of this request last arrived. */
  lastProgressAt: number
  /** Whether another endpoint could take it. */
  hasAlternative: () => boolean
}

/** Why a stream or a repeatable request is moved away from an endpoint that says nothing; undefined if it stays. */
export function findStallReason (running: RunningAttempt, now: number): string | undefined {
  const { call, history, budget, candidate, inFlightRequest, lastProgressAt } = running
  if (!isRepeatable(call) || history.attemptNumber >= call.route.maxAttempts) return undefined
  const waitedMs = now - Math.max(inFlightRequest.startedAt, lastProgressAt)
  const isSlow = call.route.kind === 'repeatable'
    ? waitedMs > Math.max(WATCH_INTERVAL_MS, SLOW_TARGETS * call.route.targetMs)
    : waitedMs > STALL_MS && candidate.endpoint.isSilent(now)
  if (!isSlow || budget.remaining < 1 || !running.hasAlternative()) return undefined
  return `nothing for ${Math.round(waitedMs)} ms`
}
