/** Runs one attempt: checks it, takes a slot, passes it to the endpoint and relays the answer. */
import { type IncomingHttpHeaders, type ServerResponse } from 'node:http'
import { type Context } from 'koa'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { type LocalEndpoint } from '@gullwall/config.settings'
import { type Endpoint } from '@gullwall/endpoint.dialect'
import { selectEndToEndHeaders } from '@gullwall/endpoint.http'
import { formatEndComment, isEventStream, type EndReason } from '@gullwall/endpoint.openai'
import { type EndpointSlots } from '@gullwall/sidecar.slots'
import {
  ATTEMPT_PREFIX, readHead, REFUSED_STATUS, withoutOwnHeaders, writeRefusal, type AttemptHead, type AttemptRefused
} from '@gullwall/transport.attempt'
import { type AttemptCrashes, type ServedAttempt } from './crashes.ts'
import { type AttemptRegistry } from './registry.ts'

/** One endpoint of this box with all that belongs to it. */
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
  /** Whether the sidecar is leaving and takes no new work. */
  isLeaving: () => boolean
  /** The least time without a token after which a stream counts as stalled, in ms. */
  minStallMs?: number
}

/** In which endpoints say that they have not run a call, with a status from here on. */
const RAN_HEADER = 'x-gullwall-ran'
const CLIENT_ERROR = 400
const DEFAULT_MIN_STALL_MS = 2000
/** A stream stalls when no token comes for so many times its target. */
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
    // What was not read of the body is of no use to anybody.
    context.req.resume()
    answerRefusal(context, refused, why)
  }
}

/** One attempt that has its slot. */
class AttemptRun {
  private readonly abort = new AbortController()
  private readonly response: ServerResponse
  private readonly startedAt = performance.now()
  private lastTokenAt = 0
  private endReason: EndReason | undefined
  private stallTimer: NodeJS.Timeout | undefined
  private isStream = false
  /** Whether the endpoint has said that it does not run the attempt. */
  private isTurnedAway = false
  private readonly attempt: ServedAttempt

  constructor (
    private readonly context: Context,
    private readonly head: AttemptHead,
    private readonly served: ServedEndpoint,
    private readonly options: RunnerOptions
  ) {
    this.response = context.res
    const { endpoint, requestId, fingerprint } = head
    this.attempt = { life: options.crashes.lifeOf(endpoint), address: served.local.address, requestId, fingerprint }
  }

  /** Cuts the attempt off; the entry is told why. */
  end (reason: EndReason): void {
    this.endReason ??= reason
    this.abort.abort()
  }

  async run (): Promise<void> {
    const { response } = this
    response.once('close', () => this.abort.abort())
    this.watchForStall(this.firstTokenStallMs())
    try {
      await this.callEndpoint()
      if (this.isTurnedAway) {
        this.refuseTurnedAway()
        return
      }
      this.options.crashes.noteRanWell(this.attempt)
      response.end()
      if (!this.isStream) this.served.slots.noteFirstToken(performance.now() - this.startedAt)
    } catch (error) {
      this.noteCrash(error)
      if (response.headersSent) this.breakOff(error)
      else this.refuseFailed(error)
    } finally {
      clearTimeout(this.stallTimer)
      this.options.registry.finish(this.head.attemptId)
    }
  }

  /** A break that this process did not make itself may be the crash of the endpoint. */
  private noteCrash (error: unknown): void {
    if (this.abort.signal.aborted || !(error instanceof GullwallError)) return
    if (error.code === 'ERR_GULLWALL_ENDPOINT_REFUSED') this.options.crashes.noteRefused(this.attempt)
    if (error.code === 'ERR_GULLWALL_ENDPOINT_FAILED') this.options.crashes.noteBroken(this.attempt)
  }

  private callEndpoint (): Promise<void> {
    const { context } = this
    const hasBody = context.headers['content-length'] !== undefined || context.headers['transfer-encoding'] !== undefined
    return this.served.endpoint.run({
      method: context.method,
      path: context.url.slice(ATTEMPT_PREFIX.length),
      headers: withoutOwnHeaders(selectEndToEndHeaders(context.headers)),
      body: hasBody ? context.req : undefined,
      signal: this.abort.signal
    }, {
      onHead: (status, headers) => this.relayHead(status, headers),
      onData: (chunk) => this.relayChunk(chunk)
    })
  }

  private refuseFailed (error: unknown): void {
    if (this.endReason === undefined && this.abort.signal.aborted) return // the entry has gone
    const certain = error instanceof GullwallError && error.code === 'ERR_GULLWALL_ENDPOINT_REFUSED'
    if (certain) this.options.registry.notStarted(this.head.attemptId)
    if (this.endReason !== 'preempted') this.served.slots.noteFailure()
    const reason = this.endReason === undefined || this.endReason === 'engine-failed'
      ? (certain ? 'endpoint-down' : 'endpoint-failed')
      : this.endReason
    answerRefusal(this.context, { reason, ran: certain ? 'no' : 'partly' }, messageOf(error))
  }

  private refuseTurnedAway (): void {
    this.options.registry.notStarted(this.head.attemptId)
    answerRefusal(this.context, { reason: 'turned-away', ran: 'no' }, 'the endpoint has no room')
  }

  private relayHead (status: number, headers: IncomingHttpHeaders): void {
    const { response } = this
    this.isTurnedAway = status >= CLIENT_ERROR && headers[RAN_HEADER] === 'no'
    if (this.isTurnedAway) return
    this.served.slots.noteAnswered(this.head.attemptId)
    this.isStream = isEventStream(headers)
    this.context.respond = false
    response.writeHead(status, withoutOwnHeaders(selectEndToEndHeaders(headers)))
    response.flushHeaders()
  }

  private relayChunk (chunk: Buffer): Promise<void> | undefined {
    if (this.isTurnedAway) return undefined
    this.noteChunk()
    return this.response.write(chunk) ? undefined : drained(this.response)
  }

  private breakOff (error: unknown): void {
    const { response, head } = this
    if (response.destroyed) return
    const reason = this.endReason ?? 'engine-failed'
    if (reason !== 'preempted') this.served.slots.noteFailure()
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

  private noteChunk (): void {
    const now = performance.now()
    if (this.lastTokenAt === 0) {
      if (this.isStream) this.served.slots.noteFirstToken(now - this.startedAt)
    } else if (this.isStream) {
      this.served.slots.noteGap(now - this.lastTokenAt, this.head.betweenTokensMs)
    }
    this.lastTokenAt = now
  }

  /** Checks now and then instead of setting a timer for each token. */
  private watchForStall (limitMs: number): void {
    if (!this.head.repeatable || !this.head.stream) return
    const heardAt = this.lastTokenAt === 0 ? this.startedAt : this.lastTokenAt
    const quietMs = performance.now() - heardAt
    if (quietMs >= limitMs) {
      this.end('stalled')
      return
    }
    this.stallTimer = setTimeout(() => {
      this.watchForStall(this.lastTokenAt === 0 ? limitMs : this.gapStallMs())
    }, limitMs - quietMs)
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

function answerRefusal (context: Context, refused: AttemptRefused, why: string): void {
  context.status = REFUSED_STATUS
  context.set(writeRefusal(refused))
  context.body = { ...refused, why }
}

function drained (response: ServerResponse): Promise<void> {
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
