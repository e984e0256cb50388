/** Runs attempts: checks the head, takes a slot, sends the request to the endpoint and forwards the answer. */
import { type IncomingHttpHeaders, type ServerResponse } from 'node:http'
import { type Context } from 'koa'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { type LocalEndpoint } from '@gullwall/config.settings'
import { type Endpoint } from '@gullwall/endpoint.dialect'
import { ATTEMPT_ID_HEADER, selectEndToEndHeaders } from '@gullwall/endpoint.http'
import { formatEndComment, isEventStream, type EndReason } from '@gullwall/endpoint.openai'
import { type EndpointSlots } from '@gullwall/sidecar.slots'
import {
  ATTEMPT_PREFIX, readHead, REFUSED_STATUS, withoutOwnHeaders, writeRefusal, type AttemptHead, type AttemptRefused
} from '@gullwall/transport.attempt'
import { type AttemptCrashes, type AttemptProgress, type ServedAttempt } from './crashes.ts'
import { type AttemptRegistry } from './registry.ts'
import { readRejection } from './rejection.ts'

/** An endpoint of this box, its dialect and its slots. */
export interface ServedEndpoint {
  local: LocalEndpoint
  endpoint: Endpoint
  slots: EndpointSlots
}

export interface RunnerOptions {
  startId: string
  endpoints: ReadonlyMap<string, ServedEndpoint>
  registry: AttemptRegistry
  crashes: AttemptCrashes
  logger: Logger
  /** Whether the sidecar is leaving and accepts no new attempts. */
  isLeaving: () => boolean
  /** Minimum time without a token after which a stream counts as stalled, in ms. */
  minStallMs?: number
}

/** Errors that prove that no byte of the request was written. */
const UNSENT_CODES: ReadonlySet<string> = new Set(['ERR_GULLWALL_ENDPOINT_REFUSED', 'ERR_GULLWALL_UNSENT'])
/** The rest of a rejection that is still read, so that its connection can be used again; it is closed after either of the two. */
const MAX_REJECTION_BYTES = 65_536
const MAX_REJECTION_MS = 1000
const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300
/** Time after the first chunk of a stream, in ms, at which another one shows a good run: an endpoint that crashes may write some first. */
const RUNS_WELL_MS = 1000
const DEFAULT_MIN_STALL_MS = 2000
/** A stream counts as stalled after this multiple of its target without a token. */
const STALL_FACTOR = 20
const FIRST_TOKEN_STALL_FACTOR = 4

export class AttemptRunner {
  constructor (private readonly options: RunnerOptions) {}

  /** Handles one HTTP request of an entry. */
  async handle (context: Context): Promise<void> {
    const head = readHead(context.headers)
    await head.caseOf({
      Left: async (missing) => this.refuse(context, { reason: 'bad-head', ran: 'no' }, `header ${missing} is missing`),
      Right: async (attempt) => await this.admit(context, attempt)
    })
  }

  private async admit (context: Context, head: AttemptHead): Promise<void> {
    const served = this.options.endpoints.get(head.endpoint)
    if (head.sidecarStartId !== this.options.startId) return this.refuse(context, { reason: 'other-start', ran: 'no' }, 'meant for another start')
    if (served === undefined) return this.refuse(context, { reason: 'unknown-endpoint', ran: 'no' }, head.endpoint)
    if (this.options.isLeaving()) return this.refuse(context, { reason: 'leaving', ran: 'no' }, 'this box is leaving')
    const run = new AttemptRun(context, head, served, this.options)
    const admitted = served.slots.admit(head, () => run.end('preempted'))
    if (!admitted) return this.refuse(context, { reason: 'busy', ran: 'no' }, 'no slot')
    const started = this.options.registry.start(head.attemptId)
    if (started !== 'started') {
      served.slots.release(head.attemptId)
      return this.refuse(context, { reason: started, ran: started === 'revoked' ? 'no' : 'unknown' }, head.attemptId)
    }
    try {
      await run.run()
    } finally {
      served.slots.release(head.attemptId)
    }
  }

  private refuse (context: Context, refused: AttemptRefused, why: string): void {
    // Discards the unread part of the body, so that the connection can be used again.
    context.req.resume()
    sendRefusal(context, refused, why)
  }
}

/** An attempt that has a slot. */
class AttemptRun {
  private readonly abort = new AbortController()
  private readonly response: ServerResponse
  private readonly startedAt = performance.now()
  private lastTokenAt = 0
  private endReason: EndReason | undefined
  private stallTimer: NodeJS.Timeout | undefined
  private isStream = false
  /** How the endpoint rejected the attempt; undefined if it did not. */
  private rejection: AttemptRefused | undefined
  private rejectionBytes = 0
  private onRejected = (): void => {}
  private isSuccessful = false
  private firstChunkAt: number | undefined
  private hasRunWell = false
  private readonly attempt: ServedAttempt

  constructor (
    private readonly context: Context,
    private readonly head: AttemptHead,
    private readonly served: ServedEndpoint,
    private readonly options: RunnerOptions
  ) {
    this.response = context.res
    const { endpoint, requestId, fingerprint, parts, organisation } = head
    const life = options.crashes.currentLife(endpoint)
    this.attempt = { life, address: served.local.address, requestId, fingerprint, parts, organisation }
  }

  /** Stops the attempt; the entry receives the reason. */
  end (reason: EndReason): void {
    this.endReason ??= reason
    this.abort.abort()
  }

  async run (): Promise<void> {
    const { response } = this
    response.once('close', () => { if (this.rejection === undefined) this.abort.abort() })
    this.watchForStall(this.firstTokenStallMs())
    try {
      const call = this.callEndpoint()
      await Promise.race([call, new Promise<void>((resolve) => { this.onRejected = resolve })])
      if (this.rejection !== undefined) {
        this.refuseRejected(this.rejection, call)
        return
      }
      this.options.crashes.recordSuccess(this.attempt)
      if (this.isSuccessful) this.options.crashes.recordGoodRun(this.attempt, this.progress)
      response.end()
      if (!this.isStream) this.served.slots.recordFirstToken(performance.now() - this.startedAt)
    } catch (error) {
      this.recordCrash(error)
      if (response.headersSent) this.endBrokenAnswer(error)
      else this.refuseFailed(error)
    } finally {
      clearTimeout(this.stallTimer)
      this.options.registry.finish(this.head.attemptId)
    }
  }

  private refuse (refused: AttemptRefused, why: string): void {
    this.context.set(ATTEMPT_ID_HEADER, this.head.attemptId)
    sendRefusal(this.context, refused, why)
  }

  /** Records a broken connection that this process has not closed itself: the endpoint may have crashed. */
  private recordCrash (error: unknown): void {
    if (this.abort.signal.aborted || !(error instanceof GullwallError)) return
    if (error.code === 'ERR_GULLWALL_ENDPOINT_REFUSED') this.options.crashes.recordRefusedConnection(this.attempt)
    if (error.code === 'ERR_GULLWALL_ENDPOINT_FAILED') this.options.crashes.recordBrokenConnection(this.attempt, this.progress)
  }

  private get progress (): AttemptProgress {
    return { beganAt: this.firstChunkAt ?? this.startedAt, hasRunWell: this.hasRunWell }
  }

  private callEndpoint (): Promise<void> {
    const { context } = this
    const hasBody = context.headers['content-length'] !== undefined || context.headers['transfer-encoding'] !== undefined
    return this.served.endpoint.run({
      method: context.method,
      path: context.url.slice(ATTEMPT_PREFIX.length),
      headers: { ...withoutOwnHeaders(selectEndToEndHeaders(context.headers)), [ATTEMPT_ID_HEADER]: this.head.attemptId },
      body: hasBody ? context.req : undefined,
      signal: this.abort.signal
    }, {
      onHead: (status, headers) => this.relayHead(status, headers),
      onData: (chunk) => this.relayChunk(chunk)
    })
  }

  private refuseFailed (error: unknown): void {
    if (this.endReason === undefined && this.abort.signal.aborted) return // The entry has disconnected.
    const certain = error instanceof GullwallError && UNSENT_CODES.has(error.code)
    if (certain) this.options.registry.notStarted(this.head.attemptId)
    if (this.endReason !== 'preempted') this.served.slots.recordFailure()
    const reason = this.endReason === undefined || this.endReason === 'engine-failed'
      ? (certain ? 'endpoint-down' : 'endpoint-failed')
      : this.endReason
    this.refuse({ reason, ran: certain ? 'no' : 'partly' }, messageOf(error))
  }

  /** Refuses a rejected attempt as soon as its head is here: the body of a rejection may have no end. */
  private refuseRejected (rejection: AttemptRefused, call: Promise<void>): void {
    if (rejection.ran === 'no') this.options.registry.notStarted(this.head.attemptId)
    else this.options.crashes.recordSuccess(this.attempt)
    const timer = setTimeout(() => this.abort.abort(new Error(`no end within ${MAX_REJECTION_MS} ms`)), MAX_REJECTION_MS)
    call.catch((error: unknown) => {
      const why = `the connection of a rejection was closed: ${messageOf(error)}`
      this.options.logger.sampled('rejection', { channel: 'endpoint', event: 'notice', endpoint: this.head.endpoint, why })
    }).finally(() => clearTimeout(timer))
    const why = rejection.ran === 'no' ? 'the endpoint has no room' : 'the endpoint rejected the request, and did not say that it has not run it'
    this.refuse(rejection, why)
  }

  private relayHead (status: number, headers: IncomingHttpHeaders): void {
    const { response } = this
    this.rejection = readRejection(status, headers, this.head.attemptId)
    if (this.rejection !== undefined) {
      this.onRejected()
      return
    }
    this.isSuccessful = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS
    this.served.slots.recordResponse(this.head.attemptId)
    this.isStream = isEventStream(headers)
    this.context.respond = false
    response.writeHead(status, { ...withoutOwnHeaders(selectEndToEndHeaders(headers)), [ATTEMPT_ID_HEADER]: this.head.attemptId })
    response.flushHeaders()
  }

  private relayChunk (chunk: Buffer): Promise<void> | undefined {
    if (this.rejection !== undefined) {
      this.rejectionBytes += chunk.length
      if (this.rejectionBytes > MAX_REJECTION_BYTES) this.abort.abort(new Error(`over ${MAX_REJECTION_BYTES} bytes`))
      return undefined
    }
    this.recordChunk()
    return this.response.write(chunk) ? undefined : waitForDrain(this.response)
  }

  private endBrokenAnswer (error: unknown): void {
    const { response, head } = this
    if (response.destroyed) return
    const reason = this.endReason ?? 'engine-failed'
    if (reason !== 'preempted') this.served.slots.recordFailure()
    this.options.logger.info({
      channel: 'routing',
      decision: reason === 'preempted' ? 'preempt' : 'finish',
      requestId: head.requestId,
      attemptId: head.attemptId,
      organisation: '',
      class: head.class,
      tier: head.tier,
      model: this.served.local.serves,
      endpoint: head.endpoint,
      ran: 'partly',
      why: `${reason}: ${messageOf(error)}`
    })
    if (this.isStream) response.end(formatEndComment(reason))
    else response.destroy()
  }

  private recordChunk (): void {
    const now = performance.now()
    this.firstChunkAt ??= now
    if (this.isStream && this.isSuccessful && !this.hasRunWell && now - this.firstChunkAt >= RUNS_WELL_MS) {
      this.hasRunWell = true
      this.options.crashes.recordGoodRun(this.attempt, this.progress)
    }
    if (this.lastTokenAt === 0) {
      if (this.isStream) this.served.slots.recordFirstToken(now - this.startedAt)
    } else if (this.isStream) {
      this.served.slots.recordGap(now - this.lastTokenAt, this.head.betweenTokensMs)
    }
    this.lastTokenAt = now
  }

  /** Checks for a stall when one is possible at the earliest; a timer for each token would cost more. */
  private watchForStall (limitMs: number): void {
    if (!this.head.repeatable || !this.head.stream) return
    const latestTokenAt = this.lastTokenAt === 0 ? this.startedAt : this.lastTokenAt
    const silentMs = performance.now() - latestTokenAt
    if (silentMs >= limitMs) {
      this.end('stalled')
      return
    }
    this.stallTimer = setTimeout(() => {
      this.watchForStall(this.lastTokenAt === 0 ? limitMs : this.gapStallMs())
    }, limitMs - silentMs)
  }

  private firstTokenStallMs (): number {
    return Math.max(this.minStallMs, this.head.firstTokenMs * FIRST_TOKEN_STALL_FACTOR)
  }

  private gapStallMs (): number {
    return Math.max(this.minStallMs, this.head.betweenTokensMs * STALL_FACTOR)
  }

  private get minStallMs (): number {
    return this.options.minStallMs ?? DEFAULT_MIN_STALL_MS
  }
}

function sendRefusal (context: Context, refused: AttemptRefused, why: string): void {
  context.status = REFUSED_STATUS
  context.set(writeRefusal(refused))
  context.body = { ...refused, why }
}

function waitForDrain (response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      response.off('drain', done)
      response.off('close', done)
      resolve()
    }
    response.once('drain', done)
    response.once('close', done)
  })
}
