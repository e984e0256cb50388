/** The life of one request: queue, attempt, and again where that is right, until it is answered. */
import { type Pool } from 'undici'
import { type IdSequence } from '@gullwall/core.ids'
import { type RoutingRecord } from '@gullwall/core.logger'
import { type NotRunStatus, type Ran } from '@gullwall/core.types'
import { createResumeBody, addPriority, type StreamedCompletion } from '@gullwall/endpoint.openai'
import { type DecisionLog } from '@gullwall/routing.decision-log'
import { type Dispatcher, type Grant, type Refusal, type RoutedRequest } from '@gullwall/routing.dispatcher'
import { nameOfPart } from '@gullwall/routing.quarantine'
import { type RetryBudget } from '@gullwall/routing.limits'
import { type AttemptHead } from '@gullwall/transport.attempt'
import { recordOutcome, runAttempt, type AttemptCall, type AttemptOutcome } from './attempt.ts'
import { type CallerError, type CallerResponse } from './caller-response.ts'
import { KeptAnswer } from './kept-answer.ts'
import { StreamBinding } from './stream-binding.ts'
import { AnswerTiming } from './timing.ts'

/** A request with all that its attempts need. */
export interface RequestToRun extends RoutedRequest {
  call: AttemptCall
  repeatable: boolean
  stream: boolean
  /** Whether its stream can go on elsewhere from the text so far. */
  resumable: boolean
  betweenTokensMs: number
  /** Knows the request again when it comes under another id. */
  fingerprint: string
  /** The ids of the parts of its prompt that may crash endpoints. */
  parts: string[]
}

/** What requests share in an entry. */
export interface RunServices {
  dispatcher: Dispatcher
  decisions: DecisionLog
  retryBudget: RetryBudget
  attemptIds: IdSequence
  startId: string
  maxAnswerBytes: number
  poolOf: (address: string) => Pool
  /** Why a request is sent to no endpoint, since they crash under it; undefined if it may be. */
  whyHeld: (request: RequestToRun) => string | undefined
  /** Records that an endpoint has run a request, or may have. */
  recordAttempt: (request: RequestToRun) => void
  /** Asks the sidecar of a grant whether an attempt started; `unknown` if it does not answer. */
  revoke: (grant: Grant, attemptId: string) => Promise<Ran>
}

/** What became of a request, for metrics and claims. */
export interface RunResult {
  ran: Ran
  outcome: 'answered' | 'refused' | 'failed' | 'cancelled'
  inTime: boolean
  status: number
  firstTokenMs: number | undefined
}

const MAX_ATTEMPTS = 6
/** With so many endpoints that broke off under a request it may be the cause; it is not sent on until control has judged that. */
const MAX_BROKEN_OFF = 3
/** When a caller is asked to come back with a request that is held, in ms: it is held for minutes. */
const HELD_RETRY_MS = 60_000
/** When a caller is asked to come back with a request that every endpoint turned away, in ms. */
const TURNED_AWAY_RETRY_MS = 1000
const REFUSED_STATUS: NotRunStatus = 503
/** A stream is cut off for higher tiers at most so many times, so that it ends at some time. */
const MAX_PREEMPTIONS = 2
const MAX_CANDIDATES_LOGGED = 3
const OTHER_BUILD = 'no endpoint is known to run the build that began the stream'

export class RequestRun {
  private readonly timing: AnswerTiming
  private readonly kept: KeptAnswer
  private readonly binding: StreamBinding
  private preemptions = 0
  private attempts = 0
  private brokenOff = 0
  private hasBeenGranted = false

  constructor (
    private readonly request: RequestToRun,
    private readonly caller: CallerResponse,
    private readonly services: RunServices
  ) {
    this.timing = new AnswerTiming(request.arrivedAt, request)
    this.kept = new KeptAnswer(request.resumable ? services.maxAnswerBytes : 0)
    this.binding = new StreamBinding(request, services.dispatcher)
    caller.gone.signal.addEventListener('abort', () => services.dispatcher.cancel(request))
  }

  /** Runs the request to its end; the caller has been answered when it resolves. */
  async run (): Promise<RunResult> {
    for (;;) {
      const held = this.services.whyHeld(this.request)
      if (held !== undefined) return this.refuseHeld(held)
      const submitted = this.services.dispatcher.submit(this.request, { atFront: this.hasBeenGranted })
      this.logWait()
      const granted = await submitted
      const ended = await granted.caseOf({
        Left: async (refusal) => this.refused(refusal),
        Right: async (grant) => await this.attempt(grant)
      })
      if (ended !== undefined) return ended
    }
  }

  /** Runs one attempt; gives nothing if there is to be another. */
  private async attempt (grant: Grant): Promise<RunResult | undefined> {
    const { services, request, caller } = this
    if (caller.isGone) {
      services.dispatcher.completeGrant(grant, true)
      return this.result('cancelled')
    }
    const held = services.whyHeld(request)
    if (held !== undefined) {
      services.dispatcher.completeGrant(grant, true)
      return this.refuseHeld(held)
    }
    if (!this.binding.allows(grant.endpoint)) {
      services.dispatcher.completeGrant(grant, true)
      return this.fail('broken_off', OTHER_BUILD, grant)
    }
    this.attempts += 1
    this.hasBeenGranted = true
    const attemptId = services.attemptIds.next()
    const resumes = this.answerSoFar()
    this.logGrant(grant, attemptId, resumes)
    if (resumes?.isFinished === true) return this.finishWhole(grant)
    const move = new AbortController()
    const onEjected = () => { if (!caller.hasBegun || build !== undefined) move.abort() }
    if (this.isMovable) services.dispatcher.ejections.once(grant.endpoint, onEjected)
    const build = this.binding.findBuild(grant.endpoint)
    const sent = caller.evidence.recordSending()
    const outcome = await runAttempt({
      move: move.signal,
      pool: services.poolOf(grant.sidecar.address),
      head: this.head(grant, attemptId),
      call: this.call(resumes),
      caller,
      timing: this.timing,
      resumes,
      revoke: () => services.revoke(grant, attemptId),
      keep: (events) => this.kept.add(events)
    })
    services.dispatcher.ejections.off(grant.endpoint, onEjected)
    services.dispatcher.completeGrant(grant, outcome.kind === 'whole' || outcome.kind === 'cancelled')
    request.late = 'serve'
    recordOutcome(sent, outcome)
    if (outcome.kind !== 'not-run') services.recordAttempt(request)
    if (caller.hasBegun) this.binding.bind(grant.endpoint, build)
    return this.settle(outcome, grant, attemptId)
  }

  private settle (outcome: AttemptOutcome, grant: Grant, attemptId: string): RunResult | undefined {
    switch (outcome.kind) {
      case 'whole':
        this.services.retryBudget.recordSuccess(this.request.serves)
        this.log('finish', `answered with ${outcome.status}`, grant, attemptId)
        return this.result('answered', outcome.status)
      case 'cancelled':
        this.log('cancel', 'the caller has gone', grant, attemptId)
        return this.result('cancelled')
      case 'not-run':
        return this.settleNotRun(outcome.reason, outcome.why, grant, attemptId)
      case 'broken':
        return this.settleBroken(outcome, grant, attemptId)
    }
  }

  private settleNotRun (reason: string, why: string, grant: Grant, attemptId: string): RunResult | undefined {
    if (reason === 'busy') {
      this.services.dispatcher.recordBusy(grant.endpoint)
      this.log('wait', 'the slot was taken', grant, attemptId)
      this.attempts -= 1
      return undefined
    }
    this.request.avoidedEndpoints.add(grant.endpoint)
    // What an endpoint has turned away arrived there; to send it on is a repeat.
    if (reason === 'turned-away' && !this.services.retryBudget.tryTake(this.request.serves)) {
      return this.refuse('retry_budget_spent', `every attempt was turned away: ${why}`, grant)
    }
    if (this.attempts < MAX_ATTEMPTS) {
      this.log('retry', `not run: ${reason}`, grant, attemptId)
      return undefined
    }
    return this.refuse('endpoints_unavailable', `${reason}: ${why}`, grant)
  }

  private settleBroken (outcome: AttemptOutcome & { kind: 'broken' }, grant: Grant, attemptId: string): RunResult | undefined {
    const { request, services, caller } = this
    const why = `${outcome.reason}: ${outcome.why}`
    // More preemptions than allowed are no order of a sidecar.
    const isPreempted = outcome.reason === 'preempted' && this.preemptions < MAX_PREEMPTIONS
    if (!isPreempted) request.avoidedEndpoints.add(grant.endpoint)
    if (outcome.reason === 'stalled') services.dispatcher.health.recordStall(grant.endpoint)
    if (!request.repeatable) return this.fail('may_have_run', `it may have run and is not repeated: ${why}`, grant)
    if (isPreempted) {
      this.preemptions += 1
      this.attempts -= 1
    } else if (outcome.reason !== 'moved') {
      if (outcome.reason === 'endpoint-failed') this.brokenOff += 1
      const isSpent = this.attempts >= MAX_ATTEMPTS || this.brokenOff >= MAX_BROKEN_OFF
      if (isSpent) return this.fail('endpoints_failed', why, grant)
      if (!services.retryBudget.tryTake(request.serves)) return this.fail('retry_budget_spent', why, grant)
    }
    if (caller.hasBegun && (!request.resumable || !this.kept.isComplete)) return this.fail('broken_off', why, grant)
    if (caller.hasBegun && !this.binding.canGoOn({ isPreempted })) return this.fail('broken_off', `${why}; ${OTHER_BUILD}`, grant)
    this.log(caller.hasBegun ? 'resume' : 'retry', why, grant, attemptId)
    return undefined
  }

  /** Ends a request that the dispatcher sends to no endpoint. */
  private refused (refusal: Refusal): RunResult {
    if (refusal.reason === 'cancelled') {
      this.log('cancel', refusal.explanation)
      return this.result('cancelled')
    }
    this.log('refuse', `${refusal.reason}: ${refusal.explanation}`)
    return this.report({
      status: REFUSED_STATUS,
      code: refusal.reason.replaceAll('-', '_'),
      message: refusal.explanation,
      step: 'queue',
      retryAfterMs: refusal.retryAfterMs
    })
  }

  /** Ends a request under which endpoints crash; it is not sent any more. */
  private refuseHeld (why: string): RunResult {
    this.log('refuse', `held (${this.request.fingerprint}): ${why}`)
    return this.report({ status: REFUSED_STATUS, code: 'crashes_endpoints', message: why, step: 'quarantine', retryAfterMs: HELD_RETRY_MS })
  }

  /** Ends a request whose latest attempt did not run. */
  private refuse (code: string, message: string, grant: Grant): RunResult {
    this.log('refuse', message, grant)
    return this.report({ status: REFUSED_STATUS, code, message, step: 'attempt', peer: describePeer(grant), retryAfterMs: TURNED_AWAY_RETRY_MS })
  }

  private fail (code: string, message: string, grant: Grant): RunResult {
    this.log('refuse', message, grant)
    return this.report({ status: 502, code, message, ran: this.ran, step: 'attempt', peer: describePeer(grant) })
  }

  private report (error: CallerError): RunResult {
    const status = this.caller.report(error)
    return this.result(status === REFUSED_STATUS ? 'refused' : 'failed', status)
  }

  /** The text was whole when the stream broke; only its last event is missing. */
  private finishWhole (grant: Grant): RunResult {
    this.services.dispatcher.completeGrant(grant, true)
    void this.caller.write(Buffer.from('data: [DONE]\n\n'))
    this.caller.end()
    return this.result('answered', 200)
  }

  private result (outcome: RunResult['outcome'], status = 0): RunResult {
    const isGood = outcome === 'answered' && status < 400
    return { ran: this.ran, outcome, status, inTime: isGood && this.timing.inTime, firstTokenMs: this.timing.firstTokenMs }
  }

  private answerSoFar (): StreamedCompletion | undefined {
    return this.caller.hasBegun ? this.kept.read() : undefined
  }

  private call (resumes: StreamedCompletion | undefined): AttemptCall {
    const { call, kind, tier } = this.request
    if (kind !== 'engine' || call.body === undefined) return call
    const body = resumes === undefined ? call.body : createResumeBody(call.body, resumes)
    const prioritised = addPriority(body, tier)
    return { ...call, body: prioritised, headers: { ...call.headers, 'content-length': String(prioritised.length) } }
  }

  private head (grant: Grant, attemptId: string): AttemptHead {
    const { request } = this
    return {
      attemptId,
      requestId: request.id,
      fingerprint: request.fingerprint,
      parts: request.parts.map((id) => nameOfPart(request.serves, id)),
      organisation: request.organisation,
      entry: this.services.startId,
      endpoint: grant.endpoint,
      sidecarStartId: grant.sidecar.startId,
      offerId: grant.offerId,
      class: request.class,
      tier: request.tier,
      repeatable: request.repeatable,
      preemptible: this.isMovable && this.preemptions < MAX_PREEMPTIONS,
      stream: request.stream,
      firstTokenMs: request.firstTokenMs,
      betweenTokensMs: request.betweenTokensMs
    }
  }

  private get ran (): Ran {
    return this.caller.evidence.ran
  }

  /** Whether the stream can be broken off and go on elsewhere without a loss. */
  private get isMovable (): boolean {
    return this.request.repeatable && this.request.resumable && this.kept.isComplete
  }

  private logWait (): void {
    const ahead = this.services.dispatcher.findQueuePosition(this.request)
    if (ahead !== undefined) this.log('wait', `no slot is free; ${ahead} ahead`)
  }

  private logGrant (grant: Grant, attemptId: string, resumes: StreamedCompletion | undefined): void {
    const reach = this.services.dispatcher.directory.findReachableEndpoints(this.request)
    const usable = this.services.dispatcher.listUsableEndpoints(this.request)
    this.log('dispatch', resumes === undefined ? grant.reason : `${grant.reason}; goes on after ${resumes.tokens} tokens`, grant, attemptId, {
      eligible: reach.length,
      usable: usable.length,
      queuedMs: Math.round(grant.queuedMs),
      candidates: usable.slice(0, MAX_CANDIDATES_LOGGED).map((view) => ({
        endpoint: view.description.name, spare: view.load.spare, local: view.sidecar.dataCentre === grant.sidecar.dataCentre
      }))
    })
  }

  private log (decision: RoutingRecord['decision'], why: string, grant?: Grant, attemptId?: string, more?: Partial<RoutingRecord>): void {
    const { request } = this
    this.services.decisions.record({
      decision,
      requestId: request.id,
      attemptId,
      organisation: request.organisation,
      class: request.class,
      tier: request.tier,
      model: request.serves,
      endpoint: grant?.endpoint,
      ran: this.ran,
      why,
      ...more
    })
  }
}

function describePeer (grant: Grant): string {
  return `${grant.endpoint}@${grant.sidecar.name}`
}
