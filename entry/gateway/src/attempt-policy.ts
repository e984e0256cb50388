/**
 * Decisions about one request: whether it is sent, what follows each attempt, and when an endpoint that does not respond is
 * abandoned. `request-forwarder.ts` carries them out.
 */
import { type ForwardableStatus } from '@gullwall/core.types'
import { type Candidate, type InFlightRequest, type RequestRetries } from '@gullwall/routing.balancer'
import { type AttemptOutcome } from './attempt-response-receiver.ts'
import { type AttemptHistory } from './attempt-history.ts'
import { isRepeatable, type Call } from './call.ts'
import { type Headers } from './dialect.ts'

/** Maximum predicted wait for the first event, as a multiple of the acceptable wait. Callers that are refused early can retry in time. */
const MAX_WAIT_FACTOR = 1
/** Minimum number of endpoints that are tried when connections fail. */
const MIN_UNSENT_ATTEMPTS = 5
/** Time for which further endpoints are tried when connections fail, as a multiple of the target. A caller refused then can still retry. */
const UNSENT_TARGET_FACTOR = 1
/** Time without a response after which a repeatable request is sent to another endpoint, as a multiple of the target. */
const SLOW_TARGET_FACTOR = 1.5
/** Interval at which running attempts are checked, and the minimum time before a repeatable request counts as slow, in ms. */
export const WATCH_INTERVAL_MS = 250
/** Share of the retry budget that is kept for requests whose callers would not come back after a refusal. */
const KEPT_RETRIES_SHARE = 0.6
/** Time without an event after which a stream is abandoned if its endpoint sends nothing for other requests either, in ms. */
const STALL_TIMEOUT_MS = 1200

/** Whether a request is sent to the best candidate or refused. */
export type Admission =
  | { type: 'send' }
  | { type: 'refuse', reason: string, retryAfterMs: number }

/** What follows an attempt. */
export type NextStep =
  /** The caller has its response or has disconnected. */
  | { type: 'done' }
  | { type: 'retry', reason: string, budgetLeft: number }
  /** The request has not run and is not retried. */
  | { type: 'refuse', reason: string }
  /** The failure response of the endpoint is forwarded to the caller. */
  | { type: 'pass-failure', status: ForwardableStatus, headers: Headers, body: Buffer, reason: string }
  /** The request may have run and has no complete response. */
  | { type: 'fail', code: string, reason: string }

export interface RequestState {
  call: Call
  history: AttemptHistory
  retries: RequestRetries
  /** Longest wait at which requests that are no more urgent than this one are still accepted, in ms. */
  acceptableWaitMs: number
  /** Whether the caller has come back after a refusal. */
  isReturning: boolean
}

/**
 * Refuses a request whose predicted wait is too long: a late response is worth little, and it delays the requests behind it.
 * Requests that may have run, go on with a stream, have no prompt, or are of tier 0 are never refused here. No request is refused for
 * a wait at which less urgent requests are still accepted.
 */
export function admit ({ call, history, acceptableWaitMs }: RequestState, { waitMs }: Candidate): Admission {
  const { tier, prompt, route, binding } = call
  const isAlwaysAdmitted = history.mayHaveRun || binding !== undefined || prompt.length === 0 || tier === 0
  if (isAlwaysAdmitted || waitMs <= MAX_WAIT_FACTOR * acceptableWaitMs) return { type: 'send' }
  return { type: 'refuse', reason: `the first event would take ${Math.round(waitMs)} ms of ${route.targetMs}`, retryAfterMs: waitMs - route.targetMs }
}

/** Decides what follows an attempt, and records the attempt in the history of the request. */
export function decideNextStep (state: RequestState, incarnation: string, outcome: AttemptOutcome, now = performance.now()): NextStep {
  const { call, history } = state
  switch (outcome.type) {
    case 'answered':
    case 'cancelled':
      return { type: 'done' }
    case 'unsent':
      history.recordUnsent(incarnation)
      return afterUnsent(state, outcome.reason, now)
    case 'withheld':
      return { type: 'retry', reason: `not sent: ${outcome.reason}`, budgetLeft: state.retries.remaining }
    case 'not-run':
      history.recordNotRun(incarnation)
      return afterNotRun(state, outcome.reason)
    case 'failed': {
      history.recordRun(incarnation)
      const { status, headers, body } = outcome
      const pass = (reason: string): NextStep => ({ type: 'pass-failure', status, headers, body, reason })
      return isRepeatable(call) ? retryOr(state, `answered ${status}`, pass) : pass('the request runs at most once')
    }
    case 'unproven':
      history.recordRun(incarnation)
      return afterPossibleRun(state, `the endpoint responded ${outcome.status} without saying that it has not run the request`)
    case 'broken':
      history.recordRun(incarnation)
      return afterPossibleRun(state, outcome.reason)
  }
}

/**
 * Tries another endpoint without using the retry budget, since the request has reached none. After an outage several endpoints in
 * a row may be unreachable.
 */
function afterUnsent ({ call, history, retries }: RequestState, reason: string, now: number): NextStep {
  const isLate = now - call.arrivedAt >= UNSENT_TARGET_FACTOR * call.route.targetMs
  if (history.unsentCount >= MIN_UNSENT_ATTEMPTS && isLate) {
    return { type: 'refuse', reason: `${history.unsentCount} endpoints could not be reached: ${reason}` }
  }
  return { type: 'retry', reason: `not sent: ${reason}`, budgetLeft: retries.remaining }
}

/** Retries a repeatable request; any other one fails, since it may have run and there is no response that the caller may have. */
function afterPossibleRun (state: RequestState, reason: string): NextStep {
  if (!isRepeatable(state.call)) return { type: 'fail', code: 'ERR_GULLWALL_UNKNOWN_OUTCOME', reason }
  return retryOr(state, reason, (failure) => ({ type: 'fail', code: 'ERR_GULLWALL_BROKEN', reason: failure }))
}

function afterNotRun (state: RequestState, reason: string): NextStep {
  const { history } = state
  if (!history.canTryAnotherEndpoint) return { type: 'refuse', reason: `rejected ${history.notRunCount} times without running: ${reason}` }
  return retryOr(state, reason, (refusalReason) => ({ type: 'refuse', reason: refusalReason }))
}

/** Retries if the number of attempts and the retry budget allow it; returns the step of `otherwise` if they do not. */
function retryOr (state: RequestState, reason: string, otherwise: (reason: string) => NextStep): NextStep {
  const { call, history, retries } = state
  if (!history.canRunAgain) return otherwise(`${reason}; ${history.sentCount} of ${call.route.maxAttempts} attempts made`)
  if (!retries.tryReserve(keptRetriesShare(state))) {
    return otherwise(`${reason}; no retry budget left${retries.remaining < 1 ? '' : ' for a caller that can come back'}`)
  }
  return { type: 'retry', reason, budgetLeft: retries.remaining }
}

/**
 * Returns the share of the retry budget that a request leaves for others. A caller that is refused for the first time comes back by itself,
 * and its next request needs no retry. A request that may have run can't be refused, and a caller rarely comes back twice.
 */
function keptRetriesShare ({ history, isReturning }: RequestState): number {
  return isReturning || history.mayHaveRun ? 0 : KEPT_RETRIES_SHARE
}

export interface RunningAttempt extends RequestState {
  candidate: Candidate
  inFlightRequest: InFlightRequest
  /** When the latest event of this request was received, by the monotonic clock. */
  lastProgressAt: number
  /** Whether another endpoint could take the request. */
  hasAlternative: () => boolean
}

/** Finds the reason to move a stream or a repeatable request away from an endpoint that does not respond; undefined if it stays. */
export function findStallReason (running: RunningAttempt, now: number): string | undefined {
  const { call, history, retries, candidate, inFlightRequest, lastProgressAt } = running
  if (!isRepeatable(call) || history.attemptNumber >= call.route.maxAttempts) return undefined
  const waitedMs = now - Math.max(inFlightRequest.startedAt, lastProgressAt)
  const isSlow = call.route.kind === 'repeatable'
    ? waitedMs > Math.max(WATCH_INTERVAL_MS, SLOW_TARGET_FACTOR * call.route.targetMs)
    : waitedMs > STALL_TIMEOUT_MS && candidate.endpoint.isSilent(now)
  if (!isSlow || retries.remaining < 1 || !running.hasAlternative()) return undefined
  return `no response data for ${Math.round(waitedMs)} ms`
}
