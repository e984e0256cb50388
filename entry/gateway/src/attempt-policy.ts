/**
 * Decisions about one request: whether it is sent, what follows each attempt, and when an endpoint that does not respond is
 * abandoned. `forward.ts` carries them out.
 */
import { type Candidate, type RetryBudget, type Work } from '@gullwall/routing.balancer'
import { type AttemptEnd } from './answer-receiver.ts'
import { type AttemptHistory } from './attempt-history.ts'
import { isRepeatable, type Call } from './call.ts'
import { type ExchangeHead } from './exchange.ts'

/** Maximum predicted wait for the first event, as a multiple of the acceptable wait. Callers that are refused early can retry in time. */
const MAX_WAIT_FACTOR = 1
/** Minimum number of endpoints that are tried when connections fail. */
const MIN_UNSENT_ATTEMPTS = 5
/** Time for which further endpoints are tried when connections fail, as a multiple of the target. A caller refused then can still retry. */
const UNSENT_TARGET_FACTOR = 1
/** Time without a response after which a repeatable request is sent to another endpoint, as a multiple of the target. */
const SLOW_TARGET_FACTOR = 1.5
/** Interval at which running attempts are checked, and the minimum time before a repeatable request counts as slow, in ms. */
export const WATCH_MS = 250
/** Time without an event after which a stream is abandoned if its endpoint sends nothing on other connections either, in ms. */
const STALL_TIMEOUT_MS = 1200

/** Whether a request is sent to the best candidate or refused. */
export type Admission =
  | { type: 'send' }
  | { type: 'refuse', why: string, afterMs: number }

/** What follows an attempt. */
export type NextStep =
  /** The caller has its response or has disconnected. */
  | { type: 'over' }
  | { type: 'again', why: string, budgetLeft: number }
  /** The request has not run and is not retried. */
  | { type: 'refuse', why: string }
  /** The failure response of the endpoint is forwarded to the caller. */
  | { type: 'pass-failure', head: ExchangeHead, body: Buffer, why: string }
  /** The request may have run and has no complete response. */
  | { type: 'fail', code: string, why: string }

export interface RequestState {
  call: Call
  history: AttemptHistory
  budget: RetryBudget
  /** Longest wait at which requests that are no more urgent than this one are still accepted, in ms. */
  patienceMs: number
}

/**
 * Refuses a request whose predicted wait is too long: a late response is worth little, and it delays the requests behind it.
 * Requests that may have run, have no prompt, or are of tier 0 are never refused here. No request is refused for a wait at which
 * less urgent requests are still accepted.
 */
export function admit ({ call, history, patienceMs }: RequestState, { waitMs }: Candidate): Admission {
  const { tier, prompt, route } = call
  const isBound = history.mayHaveRun || prompt.length === 0 || tier === 0
  if (isBound || waitMs <= MAX_WAIT_FACTOR * patienceMs) return { type: 'send' }
  return { type: 'refuse', why: `the first event would take ${Math.round(waitMs)} ms of ${route.targetMs}`, afterMs: waitMs - route.targetMs }
}

/** Decides what follows an attempt, and records the attempt in the history of the request. */
export function nextStep (state: RequestState, incarnation: string, end: AttemptEnd, now = performance.now()): NextStep {
  const { call, history } = state
  switch (end.type) {
    case 'answered':
    case 'cancelled':
      return { type: 'over' }
    case 'unsent':
      history.noteUnsent(incarnation)
      return afterUnsent(state, end.why, now)
    case 'withheld':
      return { type: 'again', why: `not sent: ${end.why}`, budgetLeft: state.budget.left }
    case 'not-run':
      history.noteNotRun(incarnation)
      return afterNotRun(state, end.why)
    case 'failed':
      history.noteRun(incarnation)
      return isRepeatable(call)
        ? retryOr(state, `answered ${end.head.status}`, (why) => ({ type: 'pass-failure', head: end.head, body: end.body, why }))
        : { type: 'pass-failure', head: end.head, body: end.body, why: 'the request runs at most once' }
    case 'broken':
      history.noteRun(incarnation)
      return isRepeatable(call)
        ? retryOr(state, end.why, (why) => ({ type: 'fail', code: 'ERR_GULLWALL_BROKEN', why }))
        : { type: 'fail', code: 'ERR_GULLWALL_UNKNOWN_OUTCOME', why: end.why }
  }
}

/**
 * Tries another endpoint without using the retry budget, since the request has reached none. After an outage several endpoints in
 * a row may be unreachable.
 */
function afterUnsent ({ call, history, budget }: RequestState, why: string, now: number): NextStep {
  const isLate = now - call.arrivedAt >= UNSENT_TARGET_FACTOR * call.route.targetMs
  if (history.unsent >= MIN_UNSENT_ATTEMPTS && isLate) return { type: 'refuse', why: `${history.unsent} endpoints could not be reached: ${why}` }
  return { type: 'again', why: `not sent: ${why}`, budgetLeft: budget.left }
}

function afterNotRun (state: RequestState, why: string): NextStep {
  const { history } = state
  if (!history.mayBeTriedElsewhere) return { type: 'refuse', why: `rejected ${history.notRun} times without running: ${why}` }
  return retryOr(state, why, (reason) => ({ type: 'refuse', why: reason }))
}

/** Retries if the number of attempts and the retry budget allow it; returns the step of `otherwise` if they do not. */
function retryOr ({ call, history, budget }: RequestState, why: string, otherwise: (why: string) => NextStep): NextStep {
  if (!history.mayRunAgain) return otherwise(`${why}; ${history.sends} of ${call.route.maxAttempts} attempts made`)
  if (!budget.take()) return otherwise(`${why}; no retry budget left`)
  return { type: 'again', why, budgetLeft: budget.left }
}

export interface RunningAttempt extends RequestState {
  candidate: Candidate
  work: Work
  /** When the latest event of this request was received, by the monotonic clock. */
  lastProgressAt: number
  /** Whether another endpoint could take the request. */
  hasAlternative: () => boolean
}

/** Finds the reason to move a stream or a repeatable request away from an endpoint that does not respond; undefined if it stays. */
export function silenceOf (running: RunningAttempt, now: number): string | undefined {
  const { call, history, budget, candidate, work, lastProgressAt } = running
  if (!isRepeatable(call) || history.attempt >= call.route.maxAttempts) return undefined
  const waitedMs = now - Math.max(work.startedAt, lastProgressAt)
  const isSlow = call.route.kind === 'repeatable'
    ? waitedMs > Math.max(WATCH_MS, SLOW_TARGET_FACTOR * call.route.targetMs)
    : waitedMs > STALL_TIMEOUT_MS && candidate.endpoint.isSilent(now)
  if (!isSlow || budget.left < 1 || !running.hasAlternative()) return undefined
  return `no response data for ${Math.round(waitedMs)} ms`
}
