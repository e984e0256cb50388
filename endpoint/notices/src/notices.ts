/** The notices in the head of one answer. */
import { parseLimit, type LimitNotice } from './limit.ts'
import { parseRetryAfter } from './retry-after.ts'

/** Header names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>

/** What an endpoint says of itself, besides its answer. */
export interface Notices {
  /** Whether it takes no new work, since it is about to end. */
  isDraining: boolean
  /** For how long it wants nothing more, in ms from the answer on; undefined where it does not ask for that. */
  backoffMs: number | undefined
  /** How many requests it takes from all boxes together; undefined where this head says nothing of that. */
  limit?: LimitNotice | undefined
  /** What it asked for where that can not be understood. */
  unreadable?: string | undefined
}

export interface ParseNoticesOptions {
  status: number
  headers: ResponseHeaders
  /** The header by which endpoints say that they drain, in lower case; the product's own unless an adapter brings another. */
  drainingHeader?: string
  /** The header by which endpoints name how many requests a second they take; likewise. */
  limitHeader?: string
  /** The time of day, Unix ms. */
  now?: number
}

/** The product's own header by which endpoints say that they drain. */
const DRAINING_HEADER = 'x-gullwall-draining'
/** The product's own header by which endpoints name how many requests a second they take. */
const LIMIT_HEADER = 'x-gullwall-limit'
/** The statuses with which an endpoint turns work away for a time; `Retry-After` of others is meant for the caller. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503])
/** The lowest status of an answer; heads below it precede one. */
const FINAL = 200
/** Characters of an unreadable value that are told. */
const MAX_TOLD = 60
/** What says that a header's statement does not hold. */
const DENIALS: ReadonlySet<string> = new Set(['', '0', 'false', 'no'])

/** Reads the notices of an answer, whatever it is an answer to. */
export function parseNotices (options: ParseNoticesOptions): Notices {
  const { headers, drainingHeader = DRAINING_HEADER, limitHeader = LIMIT_HEADER, status } = options
  const isDraining = valuesOf(headers, drainingHeader).some((value) => !DENIALS.has(value.trim().toLowerCase()))
  const limit = parseLimit(valuesOf(headers, limitHeader), { isInterim: status < FINAL })
  const notices: Notices = { isDraining, limit: limit.notice, ...readBackOff(options) }
  const unreadable = [notices.unreadable, limit.unreadable].filter((text) => text !== undefined)
  return unreadable.length === 0 ? notices : { ...notices, unreadable: unreadable.join(' | ').slice(0, MAX_TOLD) }
}

function readBackOff ({ status, headers, now = Date.now() }: ParseNoticesOptions): Pick<Notices, 'backoffMs' | 'unreadable'> {
  const asked = TURNED_AWAY.has(status) ? valuesOf(headers, 'retry-after') : []
  if (asked.length === 0) return { backoffMs: undefined }
  const [date] = valuesOf(headers, 'date')
  const times = asked.map((text) => parseRetryAfter(text, { date, now })).filter((ms) => ms !== undefined)
  if (times.length === 0) return { backoffMs: undefined, unreadable: asked.join(' | ').slice(0, MAX_TOLD) }
  return { backoffMs: Math.max(...times) }
}

/** All values of a header that came once or several times. */
function valuesOf (headers: ResponseHeaders, name: string): string[] {
  const value = headers[name]
  if (value === undefined) return []
  return Array.isArray(value) ? value : [value]
}

/** What an endpoint says of itself, for a log line; undefined where that is nothing. */
export function describeNotices ({ isDraining, backoffMs, limit, unreadable }: Notices): string | undefined {
  const parts = [
    ...(isDraining ? ['it drains'] : []),
    ...(backoffMs === undefined ? [] : [`it wants nothing for ${Math.round(backoffMs)} ms`]),
    ...(limit?.perSecond === undefined ? [] : [`it takes ${limit.perSecond} requests a second from all boxes`]),
    ...(unreadable === undefined ? [] : [`something that can not be understood: ${unreadable}`])
  ]
  return parts.length === 0 ? undefined : parts.join(', ')
}
