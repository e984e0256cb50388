/** One attempt: the call to the sidecar, the relay of its answer, and what is certain when it breaks. */
import { type Dispatcher as UndiciDispatcher, type Pool } from 'undici'
import { messageOf } from '@gullwall/core.error'
import { type Ran } from '@gullwall/core.types'
import { endToEndHeaders, wasNotSent } from '@gullwall/endpoint.http'
import { EventRelay, rewriteResumed, type AnswerSoFar } from '@gullwall/endpoint.openai'
import { readRefusal, withoutOwnHeaders, writeHead, type AttemptHead, type AttemptRefusal } from '@gullwall/transport.attempt'
import { type CallerResponse } from './caller-response.ts'
import { type AnswerTiming } from './timing.ts'

/** What an attempt sends to the endpoint. */
export interface AttemptCall {
  method: string
  path: string
  headers: Record<string, string | string[]>
  body: Buffer | undefined
}

/** How an attempt ended. */
export type AttemptOutcome =
  | { kind: 'whole', status: number }
  | { kind: 'not-run', reason: AttemptRefusal | 'unreachable', why: string }
  | { kind: 'broken', ran: Ran, reason: AttemptRefusal | 'lost', why: string }
  | { kind: 'cancelled' }

export interface AttemptOptions {
  pool: Pool
  head: AttemptHead
  call: AttemptCall
  caller: CallerResponse
  timing: AnswerTiming
  /** Asks the sidecar whether the attempt has started, and forbids it if not. */
  revoke: () => Promise<Ran>
  /** Keeps what was answered, for a resume. */
  keep: (events: Buffer) => void
  /** What was answered before, if this attempt resumes a stream. */
  resumes: AnswerSoFar | undefined
}

/** The path under which a sidecar takes attempts. */
const ATTEMPT_PREFIX = '/attempt'

export async function runAttempt (options: AttemptOptions): Promise<AttemptOutcome> {
  const { caller } = options
  let answer: UndiciDispatcher.ResponseData
  try {
    answer = await send(options)
  } catch (error) {
    if (caller.isGone) return { kind: 'cancelled' }
    return await whatBecameOf(options, error)
  }
  const refusal = readRefusal(answer.headers)
  if (refusal !== undefined) {
    const why = await textOf(answer)
    if (refusal.ran === 'no') return { kind: 'not-run', reason: refusal.reason, why }
    return { kind: 'broken', ran: refusal.ran, reason: refusal.reason, why }
  }
  return await relay(answer, options)
}

function send ({ pool, head, call, caller }: AttemptOptions): Promise<UndiciDispatcher.ResponseData> {
  return pool.request({
    method: call.method as UndiciDispatcher.HttpMethod,
    path: ATTEMPT_PREFIX + call.path,
    headers: { ...call.headers, ...writeHead(head) },
    body: call.body,
    signal: caller.gone.signal
  })
}

async function whatBecameOf (options: AttemptOptions, error: unknown): Promise<AttemptOutcome> {
  const why = messageOf(error)
  if (wasNotSent(error)) return { kind: 'not-run', reason: 'unreachable', why }
  const ran = await options.revoke()
  return ran === 'no' ? { kind: 'not-run', reason: 'revoked', why } : { kind: 'broken', ran, reason: 'lost', why }
}

async function relay (answer: UndiciDispatcher.ResponseData, options: AttemptOptions): Promise<AttemptOutcome> {
  const isStream = String(answer.headers['content-type'] ?? '').startsWith('text/event-stream')
  try {
    return isStream ? await relayEvents(answer, options) : await relayBytes(answer, options)
  } catch (error) {
    if (options.caller.isGone) return { kind: 'cancelled' }
    return { kind: 'broken', ran: 'partly', reason: 'lost', why: messageOf(error) }
  } finally {
    // Without a listener a late error of an abandoned body would end the process.
    answer.body.on('error', () => {})
    answer.body.destroy()
  }
}

async function relayEvents (answer: UndiciDispatcher.ResponseData, options: AttemptOptions): Promise<AttemptOutcome> {
  const { caller, timing, keep, resumes } = options
  const events = new EventRelay()
  caller.markEventStream()
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    const whole = events.push(chunk)
    if (whole === undefined) continue
    const bytes = resumes === undefined ? whole : rewriteResumed(whole, resumes)
    if (bytes.length === 0) continue
    timing.noteToken()
    keep(bytes)
    caller.begin(answer.statusCode, callerHeaders(answer))
    await caller.write(bytes)
    if (caller.isGone) return { kind: 'cancelled' }
  }
  if (events.done) {
    caller.end()
    return { kind: 'whole', status: answer.statusCode }
  }
  return { kind: 'broken', ran: 'partly', reason: refusalOf(events), why: 'the stream ended before its answer was whole' }
}

function refusalOf (events: EventRelay): AttemptRefusal | 'lost' {
  return events.endReason === 'engine-failed' ? 'endpoint-failed' : events.endReason ?? 'lost'
}

async function relayBytes (answer: UndiciDispatcher.ResponseData, options: AttemptOptions): Promise<AttemptOutcome> {
  const { caller, timing } = options
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    if (!caller.hasBegun) timing.noteToken()
    caller.begin(answer.statusCode, callerHeaders(answer))
    await caller.write(chunk)
    if (caller.isGone) return { kind: 'cancelled' }
  }
  caller.begin(answer.statusCode, callerHeaders(answer))
  caller.end()
  return { kind: 'whole', status: answer.statusCode }
}

function callerHeaders (answer: UndiciDispatcher.ResponseData): Record<string, string | string[]> {
  return withoutOwnHeaders(endToEndHeaders(answer.headers))
}

async function textOf (answer: UndiciDispatcher.ResponseData): Promise<string> {
  try {
    const { why } = await answer.body.json() as { why?: string }
    return why ?? ''
  } catch {
    return ''
  }
}
