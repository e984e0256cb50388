/** Carries one request: chooses endpoints, sends attempts one after the other, and ends the caller's answer. */
import { pauseSensitivityOf, type Candidate, type SentPrompt, type InFlightRequest } from '@gullwall/routing.balancer'
import { type CallerResponse, type ErrorResponse } from './caller-response.ts'
import { AttemptResponseReceiver, hasRun, verdictOf, type AttemptOutcome } from './attempt-response-receiver.ts'
import { AttemptHistory } from './attempt-history.ts'
import { admit, decideNextStep, findStallReason, WATCH_INTERVAL_MS, type NextStep, type RequestState } from './attempt-policy.ts'
import { remainingMs, type Call } from './call.ts'
import { originOf } from './connections.ts'
import { yieldToIo } from './yield-to-io.ts'
import {
  chooseEndpoint, hasAlternative, isPauseSensitive, estimateOutputTokens, findAvailabilityDelayMs, findPermanentRefusalReason,
  findNoEndpointReason, type EndpointChoiceOptions
} from './endpoint-choice.ts'
import { findDataCentreRefusalReason } from './eligibility.ts'
import { Exchange } from './exchange.ts'
import { type GatewayServices } from './index.ts'
import { chooseRetryAfterMs, waitRank, findWaitDeadline } from './endpoint-wait.ts'
import { QUARANTINE_RETRY_MS } from './quarantine.ts'
import { RequestRecorder } from './request-recorder.ts'
import { acquireSendPermit, findSendRefusalReason, type SendPermit } from './send-permit.ts'

/** An address that takes no connection for so long is left, in ms: many round trips between data centres of one region. */
const CONNECT_MS = 350
/** Connections to an endpoint whose service is not in the document. */
const DEFAULT_CONNECTIONS = 100
/** Clock slack so that an endpoint does not go on past the caller's deadline, in ms. */
const DEADLINE_SLACK_MS = 4
/** The shortest time after which a refused caller is asked to come back, in ms. */
const RETRY_AFTER_MS = 300

/** One attempt that is about to be sent. */
interface Attempt {
  candidate: Candidate
  leave: SendPermit
}

export class RequestForwarder {
  private readonly history: AttemptHistory
  private readonly recorder: RequestRecorder
  private lastEventId: string | undefined
  private exchange: Exchange | undefined
  /** Since when a request that may have run waits for its next endpoint, and until when; others may take that first. */
  private resumedAt: number | undefined
  private waitsUntil = -Infinity
  private isOver = false
  private hasBegunToRun = false
  private deadlineTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: GatewayServices, private readonly call: Call, private readonly answer: CallerResponse) {
    this.history = new AttemptHistory(call)
    this.recorder = new RequestRecorder(services, call, this.history)
    this.lastEventId = call.lastEventId
  }

  async run (): Promise<void> {
    const { call } = this
    this.services.budget.recordRequest()
    this.services.outputEstimate.record(call.route.name, call.output ?? {})
    this.services.view.reserved.recordRequest({ route: call.route.name }, call.prompt.at(-1)?.tokens ?? 0)
    await yieldToIo()
    this.answer.onDisconnected(() => this.callerLeft())
    this.deadlineTimer = setTimeout(() => this.deadlinePassed(), call.deadline - performance.now())
    try {
      await this.attempts()
    } finally {
      clearTimeout(this.deadlineTimer)
    }
  }

  private async attempts (): Promise<void> {
    const never = findPermanentRefusalReason(this.services, this.call)
    if (never !== undefined) this.refuse(never)
    while (!this.isOver) {
      if (this.isHeld()) return
      if (remainingMs(this.call) <= 0) {
        this.deadlinePassed()
        return
      }
      const candidate = await this.nextCandidate()
      if (this.isOver || this.isHeld()) return
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
      const leave = acquireSendPermit(this.services, candidate.endpoint)
      if (leave === undefined) continue
      const end = await this.attempt({ candidate, leave })
      if (this.isOver) return
      this.follow(decideNextStep(this.state, candidate.endpoint.description.incarnation, end))
    }
  }

  /** Refuses a request under which endpoints crash. */
  private isHeld (): boolean {
    const why = this.services.quarantine.findRefusalReason(this.call)
    if (why === undefined) return false
    this.services.quarantine.refusedCount += 1
    this.recorder.includeFingerprint()
    this.refuse(why, QUARANTINE_RETRY_MS)
    return true
  }

  private get state (): RequestState {
    const { call, history, services } = this
    return {
      call, history, budget: services.budget, acceptableWaitMs: services.view.table?.longestTargetMs(call.route) ?? call.route.targetMs
    }
  }

  private get choiceOptions (): EndpointChoiceOptions {
    return { services: this.services, call: this.call, history: this.history, isResumed: this.isResumed }
  }

  /** Chooses an endpoint, and waits a little for one where none is known or has room. */
  private async nextCandidate (): Promise<Candidate | undefined> {
    const { call, services, history } = this
    // What may have run can't be refused any more; it fails where no endpoint takes it.
    if (history.mayHaveRun && this.hasUntried) this.resumedAt ??= performance.now()
    const { resumedAt } = this
    for (;;) {
      const candidate = chooseEndpoint(this.choiceOptions)
      if (candidate !== undefined || this.isOver) return candidate
      const now = performance.now()
      const waits = findWaitDeadline(
        { call, resumedAt, availabilityDelayMs: findAvailabilityDelayMs(services, call, history.excluded), now }
      )
      // The wait for the end of a rest goes on through the slow start after it.
      this.waitsUntil = resumedAt === undefined ? waits : Math.max(this.waitsUntil, waits)
      const left = this.waitsUntil - now
      if (left <= 0) return undefined
      await services.view.waitForChange(left, waitRank(call))
    }
  }

  /** Whether an endpoint takes work that this request has not tried, though a rule may keep it from there now. */
  private get hasUntried (): boolean {
    const { call, history, services: { view } } = this
    const usable = call.route.split.flatMap(({ service }) => view.usable(service))
    return usable.some(({ description }) => !history.excluded.has(description.incarnation))
  }

  private async attempt ({ candidate, leave }: Attempt): Promise<AttemptOutcome> {
    const { call, services } = this
    const { endpoint, unreadTokens, urgency } = candidate
    this.resumedAt = undefined
    this.waitsUntil = -Infinity
    services.loadExchange.recordSending(endpoint, call.prompt)
    const sent: SentPrompt = {
      prompt: call.prompt,
      unreadTokens,
      urgency,
      pauseSensitivity: pauseSensitivityOf(call.route.pauseMs, endpoint.prefill.pauseMs),
      isPauseSensitive: isPauseSensitive(services, call, endpoint.description.service),
      outputTokens: estimateOutputTokens(services, call)
    }
    const work = endpoint.begin(sent, performance.now())
    services.loadExchange.recordSent(unreadTokens)
    this.recorder.recordDispatch(candidate)
    const noteCrossing = services.crossRegionTraffic.beginRequest(call, endpoint)
    const receiver = new AttemptResponseReceiver(this, work, candidate, leave.backoffPermit)
    const exchange = this.send(candidate, receiver, leave)
    this.exchange = exchange
    const watch = setInterval(() => this.watch(candidate, work), WATCH_INTERVAL_MS)
    const end = receiver.finish(await exchange.outcome)
    clearInterval(watch)
    leave.backoffPermit.release()
    noteCrossing(receiver.receivedBytes)
    const verdict = verdictOf(end)
    if (call.route.kind !== 'stream' && hasRun(end)) this.noteBegun(work.startedAt)
    endpoint.end(work, verdict, performance.now())
    if (verdict === 'unreachable' || verdict === 'ended') services.loadExchange.recordUnreachable()
    services.view.wake()
    if (end.type === 'broken') this.recorder.includeFingerprint()
    services.quarantine.recordOutcome(endpoint, call, end)
    return end
  }

  private send (candidate: Candidate, receiver: AttemptResponseReceiver, leave: SendPermit): Exchange {
    const { call, services } = this
    const { description } = candidate.endpoint
    const service = services.view.table?.service(description.service)
    const dispatcher = services.connections.dispatcherFor(
      description, service?.maxConnections ?? DEFAULT_CONNECTIONS, services.view.entryCount
    )
    return new Exchange(dispatcher, originOf(description.address), {
      method: call.method,
      path: call.path,
      headers: this.headersFor(candidate),
      body: call.body,
      connectMs: CONNECT_MS,
      findRefusalReason: () => this.whyNotNow(candidate, leave),
      wasClosedCleanly: async () => await services.connections.wasClosedCleanly()
    }, receiver)
  }

  /** Why a request is not sent after all, once a connection is free. */
  private whyNotNow ({ endpoint }: Candidate, leave: SendPermit): string | undefined {
    const { services, call } = this
    return findDataCentreRefusalReason(services.eligibility, endpoint.description.dataCentre, call) ??
      services.quarantine.findRefusalReason(call) ??
      services.notices.findRefusalReason(endpoint) ?? findSendRefusalReason(services, endpoint, leave)
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

  /** Carries out what was decided after an attempt. */
  private follow (step: NextStep): void {
    switch (step.type) {
      case 'over':
        this.isOver = true
        break
      case 'again':
        this.recorder.recordDecision(this.isResumed ? 'resume' : 'retry', `${step.reason}; budget left ${step.budgetLeft.toFixed(1)}`)
        break
      case 'refuse':
        this.refuse(step.reason)
        break
      case 'pass-failure':
        this.isOver = true
        this.recorder.recordEnd('fail', `failed-${step.head.status}`, `the endpoint answered ${step.head.status}: ${step.reason}`)
        this.answer.sendComplete(step.head.status, step.head.headers, step.body)
        break
      case 'fail':
        this.fail(502, step.code, step.reason)
        break
    }
  }

  /** Whether the caller has had a part of its stream from an earlier attempt. */
  private get isResumed (): boolean {
    return this.lastEventId !== this.call.lastEventId
  }

  private watch (candidate: Candidate, work: InFlightRequest): void {
    const { exchange, recorder } = this
    if (this.isOver || exchange === undefined) return
    // A box that was suspended finds its timers late.
    if (remainingMs(this.call) <= 0) {
      this.deadlinePassed()
      return
    }
    const running = {
      ...this.state,
      candidate,
      inFlightRequest: work,
      lastProgressAt: recorder.latestEventAt,
      hasAlternative: () => hasAlternative(this.choiceOptions, candidate.endpoint)
    }
    const why = findStallReason(running, performance.now())
    if (why === undefined) return
    recorder.recordDecision('stop', why)
    exchange.abandon(why)
  }

  /** Lets the endpoint wait while the caller reads too slowly. */
  pauseUntilDrained (): void {
    const { exchange } = this
    exchange?.pause()
    this.answer.onceDrained(() => exchange?.resume())
  }

  /** Notes whole events that were passed on. */
  recordEvents (lastId: string | undefined): void {
    this.recorder.recordEvents()
    this.noteBegun(this.recorder.latestEventAt)
    if (lastId !== undefined) this.lastEventId = lastId
  }

  /** Counts the request once, however often it is sent. A stream begins to run with its first event, a call when it is sent. */
  private noteBegun (at: number): void {
    const { organisation } = this.call
    if (this.hasBegunToRun || organisation === undefined) return
    this.hasBegunToRun = true
    this.services.usageTracker.recordBegun(organisation.name, at)
  }

  /** Notes that the caller's answer is whole. */
  recordAnswered (): void {
    this.isOver = true
    this.recorder.recordAnswered()
  }

  get context (): { call: Call, answer: CallerResponse, services: GatewayServices } {
    return { call: this.call, answer: this.answer, services: this.services }
  }

  private callerLeft (): void {
    if (this.isOver) return
    this.isOver = true
    this.exchange?.cancel()
    this.recorder.recordEnd('cancel', 'left', 'the caller left')
  }

  private deadlinePassed (): void {
    if (this.isOver) return
    const wasSent = this.history.mayHaveRun || this.exchange?.isSent === true
    this.exchange?.cancel()
    if (wasSent) this.fail(504, 'ERR_GULLWALL_DEADLINE', 'the time of the request has passed')
    else this.refuse('the time of the request has passed before it was sent')
  }

  /** Refuses a request that has not run; says so where it is certain. */
  private refuse (why: string, afterMs = 0): void {
    const restMs = findAvailabilityDelayMs(this.services, this.call)
    const returnMs = restMs > 0 ? chooseRetryAfterMs(restMs, this.call.tier) : RETRY_AFTER_MS
    const retryAfterMs = Math.round(Math.max(returnMs, afterMs))
    if (this.history.mayHaveRun) this.fail(502, 'ERR_GULLWALL_BROKEN', why)
    else this.end({ status: 503, code: 'ERR_GULLWALL_REFUSED', message: why, ran: 'no', retryAfterMs }, 'refuse')
  }

  private fail (status: number, code: string, why: string): void {
    this.end({ status, code, message: why, ran: this.answer.hasBegun ? 'partly' : 'unknown' }, 'fail')
  }

  private end (answer: ErrorResponse, decision: 'refuse' | 'fail'): void {
    this.isOver = true
    const outcome = decision === 'refuse' ? 'refused' : `error-${answer.status}`
    this.recorder.recordEnd(decision, outcome, `${answer.status} ${answer.code}: ${answer.message}`)
    this.answer.sendError(answer)
  }
}
