/** Forwards one request: chooses endpoints, sends attempts one after the other, and completes the response to the caller. */
import { pauseSensitivityOf, type Candidate, type InFlightRequest, type RequestRetries, type SentRequest } from '@gullwall/routing.balancer'
import { describeBinding } from '@gullwall/routing.stream-builds'
import { type CallerResponse, type FailureResponse, type RefusalResponse } from './caller-response.ts'
import { AttemptResponseReceiver, hasRun, verdictOf, type AttemptOutcome } from './attempt-response-receiver.ts'
import { AttemptHistory } from './attempt-history.ts'
import { admit, decideNextStep, findStallReason, WATCH_INTERVAL_MS, type NextStep, type RequestState } from './attempt-policy.ts'
import { isTakeUp, remainingMs, type Call } from './call.ts'
import { originOf } from './connections.ts'
import { yieldToIo } from './yield-to-io.ts'
import {
  hasAlternative, isPauseSensitive, estimateOutputTokens, findAvailabilityDelayMs, findPermanentRefusalReason, findNoEndpointReason,
  type EndpointChoiceOptions
} from './endpoint-choice.ts'
import { findDataCentreRefusalReason } from './eligibility.ts'
import { Exchange } from './exchange.ts'
import { type GatewayServices } from './index.ts'
import { EndpointSearch } from './endpoint-search.ts'
import { chooseRetryAfterMs } from './endpoint-wait.ts'
import { QUARANTINE_RETRY_MS } from './quarantine.ts'
import { RequestRecorder } from './request-recorder.ts'
import { acquireSendPermit, findSendRefusalReason, type SendPermit } from './send-permit.ts'

/** Timeout for a connection to an endpoint, in ms: many round trips between data centres of one region. */
const CONNECT_TIMEOUT_MS = 350
/** Connections to an endpoint whose service is not in the routing document. */
const DEFAULT_CONNECTIONS = 100
/** Time that is subtracted from an endpoint's deadline, so that the endpoint stops before the caller's deadline, in ms. */
const DEADLINE_SLACK_MS = 4
/** Minimum delay after which a refused caller may retry, in ms. */
const MIN_RETRY_AFTER_MS = 300
/** Delay after which a caller may take a stream up again whose build is not known, in ms: a gateway may be telling control right now. */
const UNKNOWN_BUILD_RETRY_MS = 300

/** An attempt that is ready to be sent. */
interface Attempt {
  candidate: Candidate
  permit: SendPermit
}

export class RequestForwarder {
  private readonly history: AttemptHistory
  readonly recorder: RequestRecorder
  private readonly retries: RequestRetries
  private readonly isReturning: boolean
  /** The id of the last event that the caller has; undefined if it has none, or if events have no ids. */
  lastEventId: string | undefined
  /** Whether an attempt has stopped inside an event that no attempt has completed since, so that the stream has more events. */
  isEventUnfinished = false
  private readonly search = new EndpointSearch()
  private exchange: Exchange | undefined
  private isOver = false
  private hasRecordedUsage = false
  private deadlineTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: GatewayServices, private readonly call: Call, private readonly response: CallerResponse) {
    this.history = new AttemptHistory(call, response.evidence)
    this.recorder = new RequestRecorder(services, call, this.history)
    this.retries = services.retryBudgets.recordRequest(call.route.split)
    this.isReturning = services.returningCallers.record(call.route.name, call.waitMs)
    this.lastEventId = call.lastEventId
  }

  async run (): Promise<void> {
    const { call } = this
    this.services.outputLengthEstimator.record(call.route.name, call.output ?? {})
    this.services.view.reserved.recordRequest({ route: call.route.name }, call.prompt.at(-1)?.tokens ?? 0)
    await yieldToIo()
    this.response.onDisconnected(() => this.cancel())
    this.deadlineTimer = setTimeout(() => this.handleTimeout(), call.deadline - performance.now())
    try {
      if (isTakeUp(call)) await this.bindTakenUp()
      await this.runAttempts()
    } finally {
      clearTimeout(this.deadlineTimer)
      this.retries.cancel()
    }
  }

  /** Binds a stream that the caller takes up to the build that began it; refuses the request if that is not known. */
  private async bindTakenUp (): Promise<void> {
    const answer = await this.services.streamBuilds.find(this.call)
    if (this.isOver) return
    if (answer.type === 'unknown') {
      this.refuse(answer.reason, UNKNOWN_BUILD_RETRY_MS)
      return
    }
    this.call.binding = answer.binding
    this.recorder.recordDecision('take-up', `goes on at ${describeBinding(answer.binding)}, according to ${answer.source}`)
  }

  private async runAttempts (): Promise<void> {
    if (this.isOver) return
    const permanentReason = findPermanentRefusalReason(this.services, this.call)
    if (permanentReason !== undefined) this.refuse(permanentReason)
    while (!this.isOver) {
      if (this.refuseIfQuarantined()) return
      if (remainingMs(this.call) <= 0) {
        this.handleTimeout()
        return
      }
      const candidate = await this.search.find(this.choiceOptions, () => this.isOver)
      if (this.isOver || this.refuseIfQuarantined()) return
      if (candidate === undefined) {
        this.refuse(findNoEndpointReason(this.choiceOptions))
        return
      }
      const admission = admit(this.state, candidate)
      if (admission.type === 'refuse') {
        this.refuse(admission.reason, admission.retryAfterMs)
        return
      }
      const { limits } = this.services
      if (limits.needsGrant(candidate.endpoint)) await limits.requestGrant(candidate.endpoint)
      if (this.isOver) return
      const permit = acquireSendPermit(this.services, candidate.endpoint)
      if (permit === undefined) continue
      const outcome = await this.runAttempt({ candidate, permit })
      if (this.isOver) return
      this.applyStep(decideNextStep(this.state, candidate.endpoint.description.incarnation, outcome))
    }
  }

  /** Refuses the request if endpoints crash under it; returns whether it was refused. */
  private refuseIfQuarantined (): boolean {
    const reason = this.services.quarantine.findRefusalReason(this.call)
    if (reason === undefined) return false
    this.services.quarantine.refusedCount += 1
    this.recorder.includeFingerprint()
    this.recorder.includePart(this.services.quarantine.parts.findHeldPart(this.call))
    this.refuse(reason, QUARANTINE_RETRY_MS)
    return true
  }

  private get state (): RequestState {
    const { call, history, retries, isReturning, services } = this
    const acceptableWaitMs = services.view.table?.longestTargetMs(call.route) ?? call.route.targetMs
    return { call, history, retries, isReturning, acceptableWaitMs }
  }

  private get choiceOptions (): EndpointChoiceOptions {
    return { services: this.services, call: this.call, history: this.history }
  }

  private async runAttempt ({ candidate, permit }: Attempt): Promise<AttemptOutcome> {
    const { call, services } = this
    const { endpoint, unreadTokens, urgency } = candidate
    this.search.reset()
    services.loadExchange.recordSending(endpoint, call.prompt)
    const sent: SentRequest = {
      prompt: call.prompt,
      unreadTokens,
      urgency,
      pauseSensitivity: pauseSensitivityOf(call.route.pauseMs, endpoint.prefill.pauseMs),
      isPauseSensitive: isPauseSensitive(services, call, endpoint.description.service),
      outputTokens: estimateOutputTokens(services, call)
    }
    const inFlightRequest = endpoint.begin(sent, performance.now())
    services.loadExchange.recordSent(unreadTokens)
    this.recorder.recordDispatch(candidate)
    const recordResponseBytes = services.crossRegionTraffic.beginRequest(call, endpoint)
    const receiver = new AttemptResponseReceiver(this, inFlightRequest, candidate, permit.backoffPermit, {
      isPaused: () => exchange.isPausedFor('memory'),
      pause: () => exchange.pause('memory'),
      resume: () => exchange.resume('memory'),
      abandon: (place, reason) => exchange.abandon(reason, place)
    })
    const exchange = this.send(candidate, receiver, permit)
    this.exchange = exchange
    const watchTimer = setInterval(() => this.checkAttempt(candidate, inFlightRequest), WATCH_INTERVAL_MS)
    const outcome = receiver.finish(await exchange.outcome)
    clearInterval(watchTimer)
    permit.backoffPermit.release()
    recordResponseBytes(receiver.receivedBytes)
    const verdict = verdictOf(outcome)
    if (call.route.kind !== 'stream' && hasRun(outcome)) this.recordUsage(inFlightRequest.startedAt)
    endpoint.end(inFlightRequest, verdict, performance.now())
    if (verdict === 'unreachable' || verdict === 'ended') services.loadExchange.recordUnreachable()
    services.view.wake()
    if (outcome.type === 'broken') this.recorder.includeFingerprint()
    services.quarantine.recordOutcome(endpoint, call, outcome, receiver.run)
    return outcome
  }

  private send (candidate: Candidate, receiver: AttemptResponseReceiver, permit: SendPermit): Exchange {
    const { call, services } = this
    const { description } = candidate.endpoint
    const maxConnections = services.view.table?.service(description.service)?.maxConnections ?? DEFAULT_CONNECTIONS
    const dispatcher = services.connections.dispatcherFor(description, maxConnections, services.view.entryCount)
    return new Exchange(dispatcher, originOf(description.address), {
      method: call.method,
      path: call.path,
      headers: this.headersFor(candidate),
      body: call.body,
      connectMs: CONNECT_TIMEOUT_MS,
      findRefusalReason: () => this.findRefusalReason(candidate, permit),
      onSending: () => {
        receiver.recordSending(this.history.evidence.recordSending())
        this.retries.recordSent(description.service)
        this.recorder.recordSending(description.service)
      },
      wasClosedCleanly: async () => await services.connections.wasClosedCleanly()
    }, receiver)
  }

  /** Returns why the request may no longer be sent when a connection is available; undefined if it may. */
  private findRefusalReason ({ endpoint }: Candidate, permit: SendPermit): string | undefined {
    const { services, call, history } = this
    if (!history.evidence.canBeSent) return 'its caller has been told that it never runs'
    return findDataCentreRefusalReason(services.eligibility, endpoint.description.dataCentre, call) ??
      services.quarantine.findRefusalReason(call) ?? services.quarantine.parts.rule(endpoint, call) ??
      services.notices.findRefusalReason(endpoint) ?? findSendRefusalReason(services, endpoint, permit)
  }

  private headersFor ({ endpoint, source, urgency }: Candidate): string[] {
    const { call, services } = this
    return services.dialect.attemptHeaders(call.rawHeaders, {
      incarnation: endpoint.description.life?.name ?? endpoint.description.incarnation,
      remainingMs: Math.max(1, Math.floor(remainingMs(call) - DEADLINE_SLACK_MS)),
      organisation: call.organisation?.name,
      urgency,
      lastEventId: this.lastEventId,
      prefixSource: source?.description.address
    })
  }

  /** Carries out the step that was decided after an attempt. */
  private applyStep (step: NextStep): void {
    switch (step.type) {
      case 'done':
        this.isOver = true
        break
      case 'retry':
        this.recorder.recordDecision(this.call.binding === undefined ? 'retry' : 'resume', `${step.reason}; budget left ${step.budgetLeft.toFixed(1)}`)
        break
      case 'refuse':
        this.refuse(step.reason)
        break
      case 'pass-failure':
        this.isOver = true
        this.recorder.recordEnd('fail', `failed-${step.status}`, `the endpoint responded ${step.status}: ${step.reason}`)
        this.response.sendComplete(step.status, step.headers, step.body)
        break
      case 'fail':
        this.fail(502, step.code, step.reason)
        break
    }
  }

  /** Checks a running attempt at each interval: ends it at the deadline, and abandons it if its endpoint does not respond. */
  private checkAttempt (candidate: Candidate, inFlightRequest: InFlightRequest): void {
    const { exchange, recorder } = this
    if (this.isOver || exchange === undefined) return
    // The deadline timer fires late if the box was suspended.
    if (remainingMs(this.call) <= 0) {
      this.handleTimeout()
      return
    }
    const running = {
      ...this.state,
      candidate,
      inFlightRequest,
      lastProgressAt: recorder.latestEventAt,
      hasAlternative: () => hasAlternative(this.choiceOptions, candidate.endpoint)
    }
    const reason = findStallReason(running, performance.now())
    if (reason === undefined) return
    recorder.recordDecision('stop', reason)
    exchange.abandon(reason)
  }

  /** Pauses reading from the endpoint while the caller reads too slowly. */
  pauseUntilDrained (): void {
    const { exchange } = this
    exchange?.pause('caller')
    this.response.onceDrained(() => exchange?.resume('caller'))
  }

  /** Records that complete events were forwarded to the caller. */
  recordEvents (lastId: string | undefined): void {
    this.recorder.recordEvents()
    this.recordUsage(this.recorder.latestEventAt)
    if (lastId !== undefined) this.lastEventId = lastId
  }

  /**
   * Counts the request once for the usage of its organisation, even if it is sent several times. A stream counts from its first
   * event, any other request from the start of its attempt.
   */
  private recordUsage (at: number): void {
    const { organisation } = this.call
    if (this.hasRecordedUsage || organisation === undefined) return
    this.hasRecordedUsage = true
    this.services.usageTracker.recordBegun(organisation.name, at)
  }

  /** Records that the response to the caller is complete. */
  recordAnswered (): void {
    this.isOver = true
    this.recorder.recordAnswered()
  }

  get context (): { call: Call, response: CallerResponse, services: GatewayServices } {
    return { call: this.call, response: this.response, services: this.services }
  }

  /** Cancels the request of a caller that has disconnected. */
  private cancel (): void {
    if (this.isOver) return
    this.isOver = true
    this.exchange?.cancel()
    this.recorder.recordEnd('cancel', 'left', 'the caller disconnected')
  }

  private handleTimeout (): void {
    if (this.isOver) return
    this.exchange?.cancel()
    if (this.history.mayHaveRun) this.fail(504, 'ERR_GULLWALL_DEADLINE', 'the request timed out')
    else this.refuse('the request timed out before it was sent')
  }

  /** Refuses the request with "not run" if that is proven; a request that may have run fails instead. */
  private refuse (reason: string, minRetryAfterMs = 0): void {
    const proof = this.history.evidence.proveNotRun()
    if (proof === undefined) {
      this.fail(502, 'ERR_GULLWALL_BROKEN', reason)
      return
    }
    const availabilityDelayMs = findAvailabilityDelayMs(this.services, this.call)
    const defaultRetryAfterMs = availabilityDelayMs > 0 ? chooseRetryAfterMs(availabilityDelayMs, this.call.tier) : MIN_RETRY_AFTER_MS
    const refusal: RefusalResponse = {
      status: 503, code: 'ERR_GULLWALL_REFUSED', message: reason, retryAfterMs: Math.round(Math.max(defaultRetryAfterMs, minRetryAfterMs))
    }
    this.isOver = true
    this.recorder.recordRefusal(refusal.status, proof.evidence)
    this.recorder.recordEnd('refuse', 'refused', describeError(refusal))
    this.response.refuse(refusal, proof)
  }

  private fail (status: 502 | 504, code: string, reason: string): void {
    const failure: FailureResponse = { status, code, message: reason, ran: this.response.hasBegun ? 'partly' : 'unknown' }
    this.isOver = true
    this.recorder.recordEnd('fail', `error-${status}`, describeError(failure))
    this.response.fail(failure)
  }
}

function describeError ({ status, code, message }: RefusalResponse | FailureResponse): string {
  return `${status} ${code}: ${message}`
}
