/**
 * Server-sent events of a chat completion, which are forwarded without being parsed. Only complete events are forwarded, so that
 * callers never receive part of an event from an interrupted stream.
 */
import { type IncomingHttpHeaders } from 'node:http'
import { createParser } from 'eventsource-parser'
import { z } from 'zod'
import { type PartialCompletion } from './request-body.ts'

const EVENT_END = Buffer.from('\n\n')
const DONE_EVENT = Buffer.from('data: [DONE]\n\n')
const LINE_FEED = 10
/** Maximum length of one event of a stream; an endpoint may send bytes without end. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024
const END_COMMENT = ': gullwall-end '

/** Whether a response is a stream of server-sent events. */
export function isEventStream (headers: IncomingHttpHeaders): boolean {
  return String(headers['content-type'] ?? '').startsWith('text/event-stream')
}

/** The reason for which a sidecar ended a stream before it was complete. */
export type EndReason = 'preempted' | 'engine-failed' | 'stalled'

const END_REASONS: readonly EndReason[] = ['preempted', 'engine-failed', 'stalled']

/** Formats the last event of a stream that a sidecar ends early: a comment, which the parsers of callers ignore. */
export function formatEndComment (reason: EndReason): string {
  return `${END_COMMENT}${reason}\n\n`
}

/** Forwards a stream in complete events and removes the sidecar's end comment. */
export class EventRelay {
  /** Whether the last event of the stream was `[DONE]`. */
  isDone = false
  /** The reason from the sidecar's end comment; undefined if there was none. */
  endReason: EndReason | undefined
  /** The beginning of an event that is not yet complete. */
  private tail: Buffer[] = []
  private tailBytes = 0

  /**
   * Adds a chunk and returns the bytes up to the last complete event, or undefined if there are none.
   * @throws Error if an event is too long
   */
  push (chunk: Buffer): Buffer | undefined {
    const end = this.findEnd(chunk)
    if (end < 0) {
      this.keepTail(chunk)
      return undefined
    }
    const whole = this.tail.length === 0 ? chunk.subarray(0, end) : Buffer.concat([...this.tail, chunk.subarray(0, end)])
    this.tail = []
    this.tailBytes = 0
    if (end < chunk.length) this.keepTail(chunk.subarray(end))
    return this.removeEndComment(whole)
  }

  /** Returns where the last event that ends in a chunk ends; its end may have begun in the chunk before. */
  private findEnd (chunk: Buffer): number {
    const last = chunk.lastIndexOf(EVENT_END)
    if (last >= 0) return last + EVENT_END.length
    return chunk[0] === LINE_FEED && this.tail.at(-1)?.at(-1) === LINE_FEED ? 1 : -1
  }

  private keepTail (bytes: Buffer): void {
    if (bytes.length === 0) return
    this.tail.push(bytes)
    this.tailBytes += bytes.length
    if (this.tailBytes > MAX_EVENT_BYTES) throw new Error(`an event of over ${MAX_EVENT_BYTES} bytes`)
  }

  private removeEndComment (events: Buffer): Buffer | undefined {
    if (endsWith(events, DONE_EVENT)) this.isDone = true
    const lastStart = findStartOfLastEvent(events)
    const last = events.subarray(lastStart)
    if (last[0] !== END_COMMENT.charCodeAt(0)) return events
    const text = last.toString('utf8')
    if (!text.startsWith(END_COMMENT)) return events
    this.endReason = END_REASONS.find((reason) => text.startsWith(reason, END_COMMENT.length)) ?? 'engine-failed'
    return lastStart === 0 ? undefined : events.subarray(0, lastStart)
  }
}

const chunkSchema = z.looseObject({
  id: z.string().optional(),
  created: z.number().optional(),
  choices: z.array(z.looseObject({
    delta: z.looseObject({ role: z.string().nullish(), content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish()
  })).default([])
})

/** The completion received so far, parsed from the events when a stream is resumed. */
export interface StreamedCompletion extends PartialCompletion {
  id: string | undefined
  /** Unix time in seconds, as sent by the engine. */
  created: number | undefined
  /** Whether the completion has a finish reason, so that only `[DONE]` may be missing. */
  isFinished: boolean
}

/** Parses the completion received so far from the chunks of a stream. */
export function readCompletion (chunks: readonly Buffer[]): StreamedCompletion {
  const completion: StreamedCompletion = { text: '', tokens: 0, id: undefined, created: undefined, isFinished: false }
  forEachChunk(Buffer.concat(chunks).toString('utf8'), (chunk) => {
    completion.id ??= chunk.id
    completion.created ??= chunk.created
    const choice = chunk.choices[0]
    const content = choice?.delta?.content ?? ''
    if (content !== '') completion.tokens += 1
    completion.text += content
    if (typeof choice?.finish_reason === 'string') completion.isFinished = true
  })
  return completion
}

/**
 * Rewrites the events of a resumed stream so that they continue the completion `before`: with the same id and creation time, and
 * without a second event that only contains the role.
 */
export function rewriteResumedEvents (events: Buffer, before: StreamedCompletion): Buffer {
  let rewritten = ''
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        rewritten += 'data: [DONE]\n\n'
        return
      }
      const parsed = chunkSchema.safeParse(JSON.parse(data))
      if (!parsed.success) return
      const chunk = { ...parsed.data, id: before.id, created: before.created }
      const delta = chunk.choices[0]?.delta
      if (delta !== undefined) delete delta.role
      const isRoleOnly = delta !== undefined && (delta.content ?? '') === '' && typeof chunk.choices[0]?.finish_reason !== 'string'
      if (!isRoleOnly) rewritten += `data: ${JSON.stringify(chunk)}\n\n`
    }
  })
  parser.feed(events.toString('utf8'))
  return Buffer.from(rewritten)
}

function forEachChunk (text: string, visit: (chunk: z.infer<typeof chunkSchema>) => void): void {
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') return
      const parsed = chunkSchema.safeParse(JSON.parse(data))
      if (parsed.success) visit(parsed.data)
    }
  })
  parser.feed(text)
}

function endsWith (bytes: Buffer, suffix: Buffer): boolean {
  return bytes.length >= suffix.length && bytes.subarray(bytes.length - suffix.length).equals(suffix)
}

function findStartOfLastEvent (events: Buffer): number {
  const before = events.lastIndexOf(EVENT_END, events.length - EVENT_END.length - 1)
  return before < 0 ? 0 : before + EVENT_END.length
}
