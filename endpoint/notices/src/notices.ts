/** The notices in the head of one answer. */
import { readRetryAfter } from './retry-after.ts'

/** Header names in lower case. */
export type AnswerHeaders = Record<string, string | string[] | undefined>

/** What an endpoint says of itself, besides its answer. */
export interface Notices {
  /** Whether it takes no new work, since it is about to end. */
  isDraining: boolean
  /** For how long it wants nothing more, in ms from the answer on; undefined where it does not ask for that. */
  backOffMs: number | undefined
  /** What it asked for where that can not be understood. */
  unreadable?: string | undefined
}

export interface NoticesOptions {
  status: number
  headers: AnswerHeaders
  /** The header by which endpoints say that they drain, in lower case; the product's own unless an adapter brings another. */
  drainingHeader?: string
  /** The time of day, Unix ms. */
  now?: number
}

/** The product's own header by which endpoints say that they drain. */
const DRAINING_HEADER = 'x-gullwall-draining'
/** The statuses with which an endpoint turns work away for a time; `Retry-After` of others is meant for the caller. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503])
/** Characters of an unreadable value that are told. */
const MAX_TOLD = 60
/** What says that a header's statement does not hold. */
const DENIALS: ReadonlySet<string> = new Set(['', '0', 'false', 'no'])

/** Reads the notices of an answer, whatever it is an answer to. */
export function readNotices ({ status, headers, drainingHeader = DRAINING_HEADER, now = Date.now() }: NoticesOptions): Notices {
  const isDraining = valuesOf(headers, drainingHeader).some((value) => !DENIALS.has(value.trim().toLowerCase()))
  const asked = TURNED_AWAY.has(status) ? valuesOf(headers, 'retry-after') : []
  if (asked.length === 0) return { isDraining, backOffMs: undefined }
  const [date] = valuesOf(headers, 'date')
  const times = asked.map((text) => readRetryAfter(text, { date, now })).filter((ms) => ms !== undefined)
  if (times.length === 0) return { isDraining, backOffMs: undefined, unreadable: asked.join(' | ').slice(0, MAX_TOLD) }
  return { isDraining, backOffMs: Math.max(...times) }
}

/** All values of a header that came once or several times. */
function valuesOf (headers: AnswerHeaders, name: string): string[] {
  const value = headers[name]
  if (value === undefined) return []
  return Array.isArray(value) ? value : [value]
}

/** What an endpoint says of itself, for a log line; undefined where that is nothing. */
export function describeNotices ({ isDraining, backOffMs, unreadable }: Notices): string | undefined {
  const parts = [
    ...(isDraining ? ['it drains'] : []),
    ...(backOffMs === undefined ? [] : [`it wants nothing for ${Math.round(backOffMs)} ms`]),
    ...(unreadable === undefined ? [] : [`it wants nothing for a time that can not be understood: ${unreadable}`])
  ]
  return parts.length === 0 ? undefined : parts.join(', ')
}
