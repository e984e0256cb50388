/** One attempt: the call to the sidecar, the relay of its answer, and what is certain when it breaks. */
import { type IncomingHttpHeaders } from 'node:http'
import { type Dispatcher as UndiciDispatcher, type Pool } from 'undici'
import { messageOf } from '@gullwall/core.error'
import { isNotRunStatus, toForwardable, type Ran, type SentAttempt } from '@gullwall/core.types'
import { type ResponseReceiver } from '@gullwall/endpoint.dialect'
import { ATTEMPT_ID_HEADER, selectEndToEndHeaders, exchange, UnsentError } from '@gullwall/endpoint.http'
import { EventRelay, isEventStream, rewriteResumedEvents, type StreamedCompletion } from '@gullwall/endpoint.openai'
import {
  ATTEMPT_PREFIX, readRefusal, withoutOwnHeaders, writeHead, type AttemptHead, type AttemptRefusal, type AttemptRefused
} from '@gullwall/transport.attempt'
import { type CallerResponse } from './caller-response.ts'
import { type AnswerTiming } from './timing.ts'

/** What an attempt sends to the endpoint. */
export interface AttemptCall {
  method: string
  path: string
  headers: Record<string, string | string[]>
  body: Buffer | undefined
}

/** Refusals that rest on a response of the endpoint, or on the failure to connect to it. */
const ENDPOINT_REFUSALS: ReadonlySet<AttemptRefusal> = new Set(['turned-away', 'endpoint-down'])

/** How an attempt ended. */
export type AttemptOutcome =
  | { kind: 'whole', status: number }
  | { kind: 'not-run', reason: AttemptRefusal | 'unreachable', why: string }
  | { kind: 'broken', ran: Exclude<Ran, 'no'>, reason: AttemptRefusal | 'lost', why: string }
  | { kind: 'cancelled' }

export interface AttemptOptions {
  pool: Pool
  head: AttemptHead
  call: AttemptCall
  caller: CallerResponse
  /** Aborts when the stream is to go on elsewhere, since its endpoint is sick. */
  move: AbortSignal
  timing: AnswerTiming
  /** Asks the sidecar whether the attempt has started, and forbids it if not. */
  revoke: () => Promise<Ran>
  /** Keeps what was answered, for a resume. */
  keep: (events: Buffer) => void
  /** What was answered before, if this attempt resumes a stream. */
  resumes: StreamedCompletion | undefined
}

export async function runAttempt (options: AttemptOptions): Promise<AttemptOutcome> {
  const { pool, head, call, caller, move } = options
  const relay = new AnswerRelay(options)
  const request = {
    method: call.method as UndiciDispatcher.HttpMethod,
    path: ATTEMPT_PREFIX + call.path,
    headers: { ...call.headers, ...writeHead(head) },
    body: call.body
  }
  try {
    const signal = AbortSignal.any([caller.gone.signal, move, relay.unproven.signal])
    await exchange(pool, request, relay, signal, { attemptId: head.attemptId })
  } catch (error) {
    if (relay.unproven.signal.aborted) return { kind: 'broken', ran: 'unknown', reason: 'turned-away', why: messageOf(error) }
    if (caller.isGone) return { kind: 'cancelled' }
    if (move.aborted) return { kind: 'broken', ran: 'partly', reason: 'moved', why: 'its endpoint was put aside' }
    if (relay.isRefused) return relay.outcome()
    return relay.hasHead ? { kind: 'broken', ran: 'partly', reason: 'lost', why: messageOf(error) } : await determineOutcome(options, error)
  }
  return relay.outcome()
}

async function determineOutcome (options: AttemptOptions, error: unknown): Promise<AttemptOutcome> {
  const why = messageOf(error)
  if (error instanceof UnsentError) return { kind: 'not-run', reason: 'unreachable', why }
  const ran = await options.revoke()
  return ran === 'no' ? { kind: 'not-run', reason: 'revoked', why } : { kind: 'broken', ran, reason: 'lost', why }
}

/** Passes a sidecar's answer on to the caller. */
class AnswerRelay implements ResponseReceiver {
  hasHead = false
  /** Aborts when the response has a status that would be a promise to the caller, without the proof of a sidecar. */
  readonly unproven = new AbortController()
  private status = 0
  private headers: IncomingHttpHeaders = {}
  private refusal: AttemptRefused | undefined
  private refusalText = ''
  private readonly events = new EventRelay()
  private isStream = false

  constructor (private readonly options: AttemptOptions) {}

  /** Whether the sidecar has refused the attempt. The head says all, so that the rest of the response may be missing. */
  get isRefused (): boolean {
    return this.refusal !== undefined
  }

  onHead (status: number, headers: IncomingHttpHeaders): void {
    this.hasHead = true
    this.status = status
    this.headers = headers
    this.refusal = this.readRefusal(headers)
    if (this.refusal === undefined && isNotRunStatus(status)) {
      this.unproven.abort(new Error(`a response with ${status} does not prove that the request has not run`))
      return
    }
    this.isStream = isEventStream(headers)
    if (this.isStream) this.options.caller.markEventStream()
  }

  /**
   * Reads a refusal of the sidecar. One that rests on a response of the endpoint needs the id of the attempt: sidecars of earlier builds,
   * which name no id there, believed any response.
   */
  private readRefusal (headers: IncomingHttpHeaders): AttemptRefused | undefined {
    const refusal = readRefusal(headers)
    if (refusal === undefined || !ENDPOINT_REFUSALS.has(refusal.reason)) return refusal
    if (headers[ATTEMPT_ID_HEADER] === this.options.head.attemptId) return refusal
    return { ...refusal, ran: refusal.ran === 'no' ? 'unknown' : refusal.ran }
  }

  onData (chunk: Buffer): Promise<void> | undefined {
    if (this.refusal !== undefined) {
      this.refusalText += chunk.toString('utf8')
      return undefined
    }
    if (!this.isStream) return this.relayBytes(chunk)
    try {
      return this.relayEvents(chunk)
    } catch (error) {
      return Promise.reject(error)
    }
  }

  /** How the attempt ended, once its answer has. */
  outcome (): AttemptOutcome {
    const { refusal } = this
    if (refusal !== undefined) {
      const why = this.refusalText
      const { reason, ran } = refusal
      return ran === 'no' ? { kind: 'not-run', reason, why } : { kind: 'broken', reason, ran, why }
    }
    if (this.isStream && !this.events.isDone) {
      return { kind: 'broken', ran: 'partly', reason: this.endReason(), why: 'the stream ended before its answer was whole' }
    }
    this.beginAnswer()
    this.options.caller.end()
    return { kind: 'whole', status: this.status }
  }

  private relayEvents (chunk: Buffer): Promise<void> | undefined {
    const { resumes, timing, keep, caller } = this.options
    const whole = this.events.push(chunk)
    if (whole === undefined) return undefined
    const bytes = resumes === undefined ? whole : rewriteResumedEvents(whole, resumes)
    if (bytes.length === 0) return undefined
    timing.noteToken()
    keep(bytes)
    this.beginAnswer()
    return caller.write(bytes)
  }

  private relayBytes (chunk: Buffer): Promise<void> | undefined {
    const { caller, timing } = this.options
    if (!caller.hasBegun) timing.noteToken()
    this.beginAnswer()
    return caller.write(chunk)
  }

  private beginAnswer (): void {
    const { caller } = this.options
    if (!caller.hasBegun) caller.begin(toForwardable(this.status), withoutOwnHeaders(selectEndToEndHeaders(this.headers)))
  }

  private endReason (): AttemptRefusal | 'lost' {
    return this.events.endReason === 'engine-failed' ? 'endpoint-failed' : this.events.endReason ?? 'lost'
  }
}

/** Records what an attempt proves about whether its request ran. */
export function recordOutcome (sent: SentAttempt, outcome: AttemptOutcome): void {
  switch (outcome.kind) {
    case 'not-run': sent.recordNotRun(); break
    case 'broken': sent.recordRun(outcome.ran); break
    case 'cancelled': sent.recordRun('partly'); break
    case 'whole': sent.recordRun('yes'); break
  }
}
