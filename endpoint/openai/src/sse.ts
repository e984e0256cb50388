/**
 * Server-sent events of a chat completion, passed on without being parsed. Only
 * whole events go on to the caller, so a broken stream never shows half of one.
 */
import { type IncomingHttpHeaders } from 'node:http'
import { createParser } from 'eventsource-parser'
import { z } from 'zod'
import { type PartialCompletion } from './request-body.ts'

const EVENT_END = Buffer.from('\n\n')
const DONE_EVENT = Buffer.from('data: [DONE]\n\n')
const END_COMMENT = ': gullwall-end '

/** Whether an answer comes as events, by its headers. */
export function isEventStream (headers: IncomingHttpHeaders): boolean {
  return String(headers['content-type'] ?? '').startsWith('text/event-stream')
}

/** Why a sidecar ended a stream before its answer was whole. */
export type EndReason = 'preempted' | 'engine-failed' | 'stalled'

const END_REASONS: readonly EndReason[] = ['preempted', 'engine-failed', 'stalled']

/** The last event of a stream that a sidecar ends early: a comment, which callers' parsers pass over. */
export function formatEndComment (reason: EndReason): string {
  return `${END_COMMENT}${reason}\n\n`
}

/** Splits a stream at the ends of events. */
export class EventRelay {
  /** The stream's last event was `[DONE]`. */
  isDone = false
  /** Why the sidecar ended the stream, if it did. */
  endReason: EndReason | undefined
  private tail: Buffer | undefined

  /** Takes bytes and gives those that end with a whole event, or undefined. */
  push (chunk: Buffer): Buffer | undefined {
    const bytes = this.tail === undefined ? chunk : Buffer.concat([this.tail, chunk])
    const end = bytes.lastIndexOf(EVENT_END)
    if (end < 0) {
      this.tail = bytes
      return undefined
    }
    const cut = end + EVENT_END.length
    this.tail = cut < bytes.length ? bytes.subarray(cut) : undefined
    return this.withoutEndComment(bytes.subarray(0, cut))
  }

  private withoutEndComment (events: Buffer): Buffer | undefined {
    if (endsWith(events, DONE_EVENT)) this.isDone = true
    const lastStart = startOfLastEvent(events)
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

/** What has been answered so far, read from the raw events when a stream must be resumed. */
export interface StreamedCompletion extends PartialCompletion {
  id: string | undefined
  created: number | undefined
  isFinished: boolean
}

export function readCompletion (chunks: readonly Buffer[]): StreamedCompletion {
  const answer: StreamedCompletion = { text: '', tokens: 0, id: undefined, created: undefined, isFinished: false }
  forEachChunk(Buffer.concat(chunks).toString('utf8'), (chunk) => {
    answer.id ??= chunk.id
    answer.created ??= chunk.created
    const choice = chunk.choices[0]
    const content = choice?.delta?.content ?? ''
    if (content !== '') answer.tokens += 1
    answer.text += content
    if (typeof choice?.finish_reason === 'string') answer.isFinished = true
  })
  return answer
}

/**
 * Rewrites events of a resumed stream to read as one answer with what came
 * before: the first answer's id, and no second opening role.
 */
export function rewriteResumedEvents (events: Buffer, before: StreamedCompletion): Buffer {
  let out = ''
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        out += 'data: [DONE]\n\n'
        return
      }
      const parsed = chunkSchema.safeParse(JSON.parse(data))
      if (!parsed.success) return
      const chunk = { ...parsed.data, id: before.id, created: before.created }
      const delta = chunk.choices[0]?.delta
      if (delta !== undefined) delete delta.role
      const opensOnly = delta !== undefined && (delta.content ?? '') === '' && typeof chunk.choices[0]?.finish_reason !== 'string'
      if (!opensOnly) out += `data: ${JSON.stringify(chunk)}\n\n`
    }
  })
  parser.feed(events.toString('utf8'))
  return Buffer.from(out)
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

function startOfLastEvent (events: Buffer): number {
  const before = events.lastIndexOf(EVENT_END, events.length - EVENT_END.length - 1)
  return before < 0 ? 0 : before + EVENT_END.length
}
