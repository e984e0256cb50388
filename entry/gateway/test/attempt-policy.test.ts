import { describe, expect, it } from 'vitest'
import { toForwardable } from '@gullwall/core.types'
import { EndpointState, RetryBudgets, type Candidate, type InFlightRequest } from '@gullwall/routing.balancer'
import { type AttemptOutcome } from '../src/attempt-response-receiver.ts'
import { AttemptHistory } from '../src/attempt-history.ts'
import { admit, decideNextStep, findStallReason, type RequestState } from '../src/attempt-policy.ts'
import { type Call } from '../src/call.ts'

const TARGET_MS = 600

interface StateOptions {
  kind?: 'stream' | 'repeatable' | 'once'
  isResumable?: boolean
  tier?: number
  maxAttempts?: number
  slack?: number
  isReturning?: boolean
}

function stateOf ({ kind = 'stream', isResumable = true, tier = 1, maxAttempts = 2, slack = 100, isReturning = true }: StateOptions = {}): RequestState {
  const route = {
    name: 'r',
    host: 'h',
    prefix: '/',
    kind,
    timeoutMs: 6000,
    targetMs: TARGET_MS,
    tier,
    split: [{ service: 's', weight: 1 }],
    maxAttempts,
    isPublic: true,
    isResumable,
    hasPromptParts: true
  }
  const call: Call = {
    requestId: 'a',
    waitMs: undefined,
    lastEventId: undefined,
    resumes: undefined,
    binding: undefined,
    prompt: [{ id: 'p', tokens: 1000 }],
    key: undefined,
    method: 'POST',
    path: '/',
    rawHeaders: [],
    body: undefined,
    route,
    organisation: undefined,
    regionLimits: [],
    tier,
    arrivedAt: 0,
    deadline: 6000,
    documentVersion: 1,
    suspendedMs: 0,
    fingerprint: () => '',
    sharedParts: () => []
  }
  const retries = new RetryBudgets({ ratio: 0, windowMs: 10_000, slack, entryCount: () => 1 }).recordRequest(route.split)
  return { call, history: new AttemptHistory(call), retries, isReturning, acceptableWaitMs: TARGET_MS }
}

const endpoint = new EndpointState({ incarnation: 'i-1', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 4 })
const candidate: Candidate = {
  endpoint,
  cost: 0,
  unreadTokens: 1000,
  urgency: 0,
  copiedTokens: 0,
  source: undefined,
  waitMs: 0,
  isAffinityEndpoint: true
}
const broken: AttemptOutcome = { type: 'broken', reason: 'reset', isClosed: true }
const failed: AttemptOutcome = { type: 'failed', status: toForwardable(500), headers: {}, body: Buffer.alloc(0) }
const notRun: AttemptOutcome = { type: 'not-run', reason: 'full', verdict: 'shed' }
const unsent: AttemptOutcome = { type: 'unsent', reason: 'no connection' }

describe('admission', () => {
  it('refuses a request whose predicted wait is too long, with a retry delay', () => {
    expect(admit(stateOf(), { ...candidate, waitMs: 3 * TARGET_MS })).toMatchObject({ type: 'refuse', retryAfterMs: 2 * TARGET_MS })
    expect(admit(stateOf(), { ...candidate, waitMs: TARGET_MS / 2 })).toEqual({ type: 'send' })
  })

  it('refuses no request for a wait at which less urgent requests are still accepted', () => {
    const state = { ...stateOf(), acceptableWaitMs: 2 * TARGET_MS }
    expect(admit(state, { ...candidate, waitMs: 1.5 * TARGET_MS })).toEqual({ type: 'send' })
    expect(admit(state, { ...candidate, waitMs: 3 * TARGET_MS })).toMatchObject({ type: 'refuse' })
  })

  it('refuses neither requests of tier 0 nor requests that may have run', () => {
    expect(admit(stateOf({ tier: 0 }), { ...candidate, waitMs: 3 * TARGET_MS })).toEqual({ type: 'send' })
    const state = stateOf()
    state.history.evidence.recordSending()
    expect(admit(state, { ...candidate, waitMs: 3 * TARGET_MS })).toEqual({ type: 'send' })
  })
})

describe('the step after an attempt', () => {
  it('is none after a complete response or after the caller has disconnected', () => {
    expect(decideNextStep(stateOf(), 'i-1', { type: 'answered' })).toEqual({ type: 'done' })
    expect(decideNextStep(stateOf(), 'i-1', { type: 'cancelled' })).toEqual({ type: 'done' })
  })

  it('is another attempt for a repeatable request, up to the maximum of the route', () => {
    const state = stateOf({ maxAttempts: 2 })
    expect(decideNextStep(state, 'i-1', broken)).toMatchObject({ type: 'retry' })
    expect(decideNextStep(state, 'i-2', broken)).toMatchObject({ type: 'fail', code: 'ERR_GULLWALL_BROKEN', reason: 'reset; 2 of 2 attempts made' })
    expect([...state.history.excluded]).toEqual(['i-1', 'i-2'])
  })

  it('is the failure for a request that runs at most once', () => {
    expect(decideNextStep(stateOf({ kind: 'once' }), 'i-1', broken)).toMatchObject({ type: 'fail', code: 'ERR_GULLWALL_UNKNOWN_OUTCOME' })
    expect(decideNextStep(stateOf({ isResumable: false }), 'i-1', broken)).toMatchObject({ type: 'fail', code: 'ERR_GULLWALL_UNKNOWN_OUTCOME' })
    expect(decideNextStep(stateOf({ kind: 'once' }), 'i-1', failed)).toMatchObject({ type: 'pass-failure', status: 500 })
  })

  it('is a failure of this process if the status of the endpoint would be a promise, and another attempt if the request may be repeated', () => {
    const unproven: AttemptOutcome = { type: 'unproven', status: 503 }
    for (const state of [stateOf({ kind: 'once' }), stateOf({ isResumable: false })]) {
      expect(decideNextStep(state, 'i-1', unproven)).toMatchObject({ type: 'fail', code: 'ERR_GULLWALL_UNKNOWN_OUTCOME' })
    }
    const state = stateOf({ maxAttempts: 2 })
    expect(decideNextStep(state, 'i-1', unproven)).toMatchObject({ type: 'retry' })
    expect(decideNextStep(state, 'i-2', unproven)).toMatchObject({ type: 'fail', code: 'ERR_GULLWALL_BROKEN' })
  })

  it('uses the retry budget if an endpoint was reached, and is a refusal if the budget is used up', () => {
    const state = stateOf({ kind: 'once', slack: 3 })
    expect(decideNextStep(state, 'i-1', unsent)).toMatchObject({ type: 'retry', budgetLeft: state.retries.remaining })
    expect(decideNextStep(state, 'i-2', notRun)).toMatchObject({ type: 'retry' })
    expect(decideNextStep(state, 'i-3', notRun)).toMatchObject({ type: 'refuse', reason: 'full; no retry budget left' })
  })

  it('is another attempt for any number of unreachable endpoints until the target has passed, and then a refusal', () => {
    const state = stateOf()
    for (let index = 0; index < 30; index += 1) {
      expect(decideNextStep(state, `i-${index}`, unsent, TARGET_MS / 2)).toMatchObject({ type: 'retry' })
    }
    expect(decideNextStep(state, 'i-30', unsent, TARGET_MS)).toMatchObject({ type: 'refuse', reason: '31 endpoints could not be reached: no connection' })
  })

  it('is another attempt for the first few unreachable endpoints even after the target', () => {
    const state = stateOf()
    const steps = Array.from({ length: 5 }, (_unused, index) => decideNextStep(state, `i-${index}`, unsent, 2 * TARGET_MS).type)
    expect(steps).toEqual(['retry', 'retry', 'retry', 'retry', 'refuse'])
  })
})

describe('the retry budget of a service', () => {
  const BUDGET = 6
  const slack = BUDGET / 0.6

  /** Returns how many requests are sent to another endpoint, each after one rejection. */
  function countRetries (states: RequestState[]): number {
    return states.filter((state) => decideNextStep(state, 'i-1', notRun).type === 'retry').length
  }

  function share (states: RequestState[]): RequestState[] {
    const [first] = states
    return states.map((state) => ({ ...state, retries: first?.retries ?? state.retries }))
  }

  // Requests of callers that would have come back used up the budget, and those that came back were refused again.
  it('is kept in part for callers that have come back after a refusal', () => {
    const fresh = Array.from({ length: 10 }, () => stateOf({ slack, isReturning: false }))
    const returning = Array.from({ length: 10 }, () => stateOf({ slack }))
    const states = share([...fresh, ...returning])
    expect(countRetries(states.slice(0, 10))).toBe(2)
    expect(decideNextStep(stateOf({ slack: 0, isReturning: false }), 'i-1', notRun)).toMatchObject({ reason: 'full; no retry budget left' })
    const [refused = stateOf()] = states
    expect(decideNextStep(refused, 'i-2', notRun)).toMatchObject({ reason: 'full; no retry budget left for a caller that can come back' })
    expect(countRetries(states.slice(10))).toBe(BUDGET - 2)
  })

  it('is used as a whole by requests that may have run', () => {
    const states = share(Array.from({ length: 10 }, () => stateOf({ slack, isReturning: false })))
    for (const { history } of states) history.evidence.recordSending()
    expect(states.filter((state) => decideNextStep(state, 'i-1', broken).type === 'retry')).toHaveLength(BUDGET)
  })
})

describe('an endpoint that does not respond', () => {
  const inFlightRequest: InFlightRequest = {
    startedAt: 0,
    unreadTokens: 0,
    urgency: 0,
    promptTokens: 0,
    pauseSensitivity: 0,
    isPauseSensitive: false,
    aheadTokens: 0,
    hasFirstEvent: true,
    lastEventAt: 0
  }
  const running = (state: RequestState, hasAlternative = true) => ({
    ...state, candidate, inFlightRequest, lastProgressAt: 0, hasAlternative: () => hasAlternative
  })

  it('loses a repeatable request well after its target if another endpoint is available', () => {
    const state = stateOf({ kind: 'repeatable' })
    expect(findStallReason(running(state), TARGET_MS)).toBeUndefined()
    expect(findStallReason(running(state), 2 * TARGET_MS)).toBe(`no response data for ${2 * TARGET_MS} ms`)
    expect(findStallReason(running(state, false), 2 * TARGET_MS)).toBeUndefined()
  })

  it('keeps a request that runs at most once', () => {
    expect(findStallReason(running(stateOf({ kind: 'once' })), 100 * TARGET_MS)).toBeUndefined()
  })
})
