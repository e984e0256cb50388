/** The attempts of one request, from the first choice of an endpoint to the last byte for the caller. */
import { strainOf, type Candidate, type Work } from '@gullwall/routing.balancer'
import { type CallerAnswer, type ErrorAnswer } from './answer.ts'
import { AttemptHistory } from './attempt-history.ts'
import { isRepeatable, type Call } from './call.ts'
import { AnswerReceiver, verdictOf, type AttemptEnd } from './answer-receiver.ts'
import { chooseEndpoint } from './endpoint-choice.ts'
import { Exchange, type ExchangeHead } from './exchange.ts'
import { originOf } from './connections.ts'
import { type GatewayServices } from './index.ts'

const CONNECT_MS = 350
const DEFAULT_CONNECTIONS = 100
/** Clock slack so that an endpoint does not go on past the caller's deadline, in ms. */
const DEADLINE_SLACK_MS = 4
const RETRY_AFTER_MS = 300
/** A first event that would take so many times its target is not waited for. */
const HOPELESS_TARGETS = 1.3
const WATCH_MS = 250
const STALL_MS = 1200

export class Forwarding {
  private readonly history: AttemptHistory
  private lastEventId: string | undefined
  private exchange: Exchange | undefined
  /** The endpoint of the latest attempt. */
  private latest: Candidate | undefined
  private isOver = false
  private lastProgressAt = -Infinity
  private firstEventAt: number | undefined
  private longestPauseMs = 0
  private deadlineTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: GatewayServices, private readonly call: Call, private readonly answer: CallerAnswer) {
    this.history = new AttemptHistory(call)
    this.lastEventId = call.lastEventId
  }

  async run (): Promise<void> {
    const { call } = this
    this.services.budget.noteRequest()
    this.answer.onLeft(() => this.callerLeft())
    this.deadlineTimer = setTimeout(() => this.deadlinePassed(), call.deadline - performance.now())
    try {
      await this.attempts()
    } finally {
      clearTimeout(this.deadlineTimer)
    }
  }

  private async attempts (): Promise<void> {
    const { call } = this
    while (!this.isOver) {
      const candidate = await this.nextCandidate()
      if (this.isOver) return
      if (candidate === undefined) {
        this.refuse('no endpoint takes work')
        return
      }
      if (this.isHopeless(candidate)) {
        this.refuse(`the first event would take ${Math.round(candidate.waitMs)} ms of ${call.route.targetMs}`, candidate.waitMs - call.route.targetMs)
        return
      }
      const end = await this.attempt(candidate)
      if (this.isOver || !this.goesOn(candidate, end)) return
    }
  }

  /** Chooses an endpoint, and waits a little for one where none is known. */
  private async nextCandidate (): Promise<Candidate | undefined> {
    const { call } = this
    const patience = Math.min(call.deadline, call.arrivedAt + call.route.targetMs / 4)
    for (;;) {
      const candidate = chooseEndpoint({ services: this.services, call, history: this.history, isResumed: this.isResumed })
      const left = patience - performance.now()
      if (candidate !== undefined || left <= 0 || this.isOver) return candidate
      await this.services.view.changeWithin(left)
    }
  }

  /**
   * Whether a request that has not been sent yet would be late by so much that it had better come back: served late it
   * earns little and makes those behind it late too. The most urgent are never refused so.
   */
  private isHopeless ({ waitMs }: Candidate): boolean {
    const { call } = this
    return !this.history.mayHaveRun && call.prompt.length > 0 && call.tier > 0 && waitMs > HOPELESS_TARGETS * call.route.targetMs
  }

  private async attempt (candidate: Candidate): Promise<AttemptEnd> {
    const { call, services } = this
    const { endpoint } = candidate
    const { description } = endpoint
    if (this.history.isFirst) this.services.metrics.queued.observe({ route: call.route.name }, (performance.now() - call.arrivedAt) / 1000)
    this.latest = candidate
    const service = services.view.table?.service(description.service)
    const dispatcher = services.connections.to(description, service?.maxConnections ?? DEFAULT_CONNECTIONS, services.view.entries)
    services.workExchange.noteSending(endpoint, call.prompt)
    const { unreadTokens, urgency } = candidate
    const sent = { prompt: call.prompt, unreadTokens, urgency, strain: strainOf(call.route.pauseMs) }
    const work = endpoint.begin(sent, performance.now())
    this.logDispatch(candidate)
    const receiver = new AnswerReceiver(this, work, candidate)
    const exchange = new Exchange(dispatcher, originOf(description.address), {
      method: call.method,
      path: call.path,
      headers: this.headersFor(candidate),
      body: call.body,
      connectMs: CONNECT_MS,
      wasClosedWell: async () => await services.connections.wasClosedWell()
    }, receiver)
    this.exchange = exchange
    const watch = setInterval(() => this.watch(candidate, work), WATCH_MS)
    const end = receiver.endOf(await exchange.ended)
    clearInterval(watch)
    endpoint.end(work, verdictOf(end), performance.now())
    return end
  }

  private headersFor ({ endpoint, source, urgency }: Candidate): string[] {
    const { call, services } = this
    return services.dialect.attemptHeaders(call.rawHeaders, {
      incarnation: endpoint.description.incarnation,
      remainingMs: Math.max(1, Math.floor(call.deadline - performance.now() - DEADLINE_SLACK_MS)),
      organisation: call.organisation?.name,
      urgency,
      lastEventId: this.lastEventId,
      prefixSource: source?.description.address
    })
  }

  /** Decides what follows an attempt; true if there is another. */
  private goesOn (candidate: Candidate, end: AttemptEnd): boolean {
    const { incarnation } = candidate.endpoint.description
    switch (end.type) {
      case 'answered':
      case 'cancelled':
        return false
      case 'unsent':
        this.history.noteNotRun(incarnation)
        this.log('retry', candidate, `not sent: ${end.why}`)
        return this.triesElsewhere(end.why)
      case 'not-run':
        this.history.noteNotRun(incarnation)
        return this.triesElsewhere(end.why) && this.sendAgain(candidate, end.why, () => this.refuse(end.why))
      case 'failed':
        this.history.noteRun(incarnation)
        if (!isRepeatable(this.call)) return this.passFailure(candidate, end)
        return this.sendAgain(candidate, `answered ${end.head.status}`, () => this.passFailure(candidate, end))
      case 'broken':
        this.history.noteRun(incarnation)
        if (!isRepeatable(this.call)) {
          this.fail(502, 'ERR_GULLWALL_UNKNOWN_OUTCOME', end.why)
          return false
        }
        return this.sendAgain(candidate, end.why, () => this.fail(502, 'ERR_GULLWALL_BROKEN', end.why))
    }
  }

  /** Whether the caller has had a part of its stream from an earlier attempt. */
  private get isResumed (): boolean {
    return this.lastEventId !== this.call.lastEventId
  }

  /** Whether an attempt that did not run is followed by another; else the request is refused. */
  private triesElsewhere (why: string): boolean {
    if (this.history.mayBeTriedElsewhere) return true
    this.refuse(`not run ${this.history.notRun} times: ${why}`)
    return false
  }

  /** Sends once more if attempts and budget allow it; else ends as told. */
  private sendAgain (candidate: Candidate, why: string, otherwise: () => void): boolean {
    const { call, services } = this
    const isAllowed = this.history.mayRunAgain
    if (isAllowed && services.budget.take()) {
      this.log(this.isResumed ? 'resume' : 'retry', candidate, `${why}; budget left ${services.budget.left.toFixed(1)}`)
      return true
    }
    this.log('stop', candidate, `${why}; ${isAllowed ? 'no retry budget left' : `${this.history.sends} of ${call.route.maxAttempts} attempts made`}`)
    otherwise()
    return false
  }

  private passFailure (candidate: Candidate, { head, body }: { head: ExchangeHead, body: Buffer }): false {
    this.finish(`failed-${head.status}`, candidate.endpoint.description.incarnation)
    this.answer.whole(head.status, head.headers, body)
    return false
  }

  /** Moves a stream or a repeatable request away from an endpoint that has gone silent. */
  private watch (candidate: Candidate, work: Work): void {
    const { call, exchange } = this
    if (this.isOver || exchange === undefined || !isRepeatable(call) || this.history.attempt >= call.route.maxAttempts) return
    const now = performance.now()
    const waited = now - Math.max(work.startedAt, this.lastProgressAt)
    const isSlow = call.route.kind === 'repeatable'
      ? waited > Math.max(WATCH_MS, 1.5 * call.route.targetMs)
      : waited > STALL_MS && candidate.endpoint.isSilent(now)
    if (!isSlow || this.services.budget.left < 1) return
    const others = this.services.view.usable(candidate.endpoint.description.service)
    if (others.every((other) => other === candidate.endpoint || this.history.excluded.has(other.description.incarnation))) return
    this.log('stop', candidate, `nothing for ${Math.round(waited)} ms`)
    exchange.giveUp(`nothing for ${Math.round(waited)} ms`)
  }

  /** Lets the endpoint wait while the caller reads too slowly. */
  holdUntilDrained (): void {
    const { exchange } = this
    exchange?.pause()
    this.answer.onceDrained(() => exchange?.resume())
  }

  /** Notes whole events that were passed on. */
  noteEvents (lastId: string | undefined): void {
    const now = performance.now()
    if (this.firstEventAt !== undefined) this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastProgressAt)
    this.lastProgressAt = now
    if (lastId !== undefined) this.lastEventId = lastId
    if (this.firstEventAt !== undefined) return
    this.firstEventAt = now
    this.services.metrics.firstEvent.observe({ route: this.call.route.name }, (now - this.call.arrivedAt) / 1000)
  }

  get facts (): { call: Call, answer: CallerAnswer, services: GatewayServices } {
    return { call: this.call, answer: this.answer, services: this.services }
  }

  private callerLeft (): void {
    if (this.isOver) return
    this.isOver = true
    this.exchange?.cancel()
    this.finish('left', undefined)
    this.logEnd('cancel', 'the caller left')
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
    const retryAfterMs = Math.round(Math.max(RETRY_AFTER_MS, afterMs))
    if (this.history.mayHaveRun) this.fail(502, 'ERR_GULLWALL_BROKEN', why)
    else this.end({ status: 503, code: 'ERR_GULLWALL_REFUSED', message: why, ran: 'no', retryAfterMs }, 'refused')
  }

  private fail (status: number, code: string, why: string): void {
    this.end({ status, code, message: why, ran: this.answer.hasBegun ? 'partly' : 'unknown' }, `error-${status}`)
  }

  private end (answer: ErrorAnswer, outcome: string): void {
    this.isOver = true
    this.finish(outcome, undefined)
    this.logEnd(answer.status === 503 ? 'refuse' : 'fail', `${answer.status} ${answer.code}: ${answer.message}`)
    this.answer.error(answer)
  }

  /** Counts the end of the request. */
  finish (outcome: string, endpoint: string | undefined): void {
    const { route, arrivedAt } = this.call
    this.isOver = true
    const tookMs = performance.now() - arrivedAt
    this.services.metrics.requests.inc({ route: route.name, outcome })
    this.services.metrics.duration.observe({ route: route.name }, tookMs / 1000)
    if (this.firstEventAt !== undefined) this.services.metrics.longestPause.observe({ route: route.name }, this.longestPauseMs / 1000)
    if (outcome !== 'answered') return
    this.services.logger.sampled('finish', { ...this.record('finish'), endpoint, tookMs: Math.round(tookMs), why: 'answered' })
  }

  private record (decision: 'dispatch' | 'retry' | 'resume' | 'stop' | 'refuse' | 'fail' | 'cancel' | 'finish') {
    const { call, services } = this
    return {
      channel: 'forward' as const,
      decision,
      requestId: call.requestId,
      route: call.route.name,
      organisation: call.organisation?.name ?? '',
      tier: call.tier,
      attempt: this.history.attempt,
      documentVersion: call.documentVersion,
      documentAgeMs: services.view.documentAgeMs,
      elapsedMs: Math.round(performance.now() - call.arrivedAt)
    }
  }

  private logDispatch (candidate: Candidate): void {
    const record = { ...this.record('dispatch'), ...this.candidateFacts(candidate), why: candidate.isHome ? 'home of its prompt' : 'least cost' }
    if (this.history.isFirst) this.services.logger.sampled('dispatch', record)
    else this.services.logger.info(record)
  }

  private log (decision: 'retry' | 'resume' | 'stop', candidate: Candidate, why: string): void {
    this.services.logger.info({ ...this.record(decision), ...this.candidateFacts(candidate), why })
  }

  /** Names the endpoint of the latest attempt, if there was one. */
  private logEnd (decision: 'refuse' | 'fail' | 'cancel', why: string): void {
    const facts = this.latest === undefined ? {} : this.candidateFacts(this.latest)
    this.services.logger.info({ ...this.record(decision), ...facts, why })
  }

  private candidateFacts ({ endpoint, cost, unreadTokens, copiedTokens, source }: Candidate) {
    const { incarnation } = endpoint.description
    return {
      endpoint: incarnation,
      leaseAgeMs: this.services.view.leaseAgeMs(incarnation),
      cost: Math.round(cost),
      unreadTokens,
      copiedTokens,
      source: source?.description.incarnation,
      inFlight: endpoint.inFlight
    }
  }
}
