/** Parses the notices in the headers of one response. */
import { parseLimit, type LimitNotice } from './limit.ts'
import { parseRetryAfter } from './retry-after.ts'

/** Header names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>

/** What an endpoint states about itself in response headers. */
export interface Notices {
  /** Whether the endpoint accepts no new requests, since it is about to stop. */
  isDraining: boolean
  /** The requested backoff in ms after the response; undefined if the endpoint requests none. */
  backoffMs: number | undefined
  /** The advertised limit; undefined if these headers do not change it. */
  limit?: LimitNotice | undefined
  /** Header values that are invalid, shortened. */
  invalidValues?: string | undefined
}

export interface ParseNoticesOptions {
  status: number
  headers: ResponseHeaders
  /** The header that marks an endpoint as draining, in lower case; Gullwall's own unless an adapter provides another. */
  drainingHeader?: string
  /** The header with the advertised limit in requests per second, in lower case; Gullwall's own unless an adapter provides another. */
  limitHeader?: string
  /** The current time in Unix ms. */
  now?: number
}

/** Gullwall's own header that marks an endpoint as draining. */
const DRAINING_HEADER = 'x-gullwall-draining'
/** Gullwall's own header with the advertised limit in requests per second. */
const LIMIT_HEADER = 'x-gullwall-limit'
/** The statuses with which an endpoint rejects requests for a time. With other statuses `Retry-After` is meant for the caller. */
const BACKOFF_STATUSES: ReadonlySet<number> = new Set([429, 503])
/** The lowest status of a final response; lower ones are interim responses. */
const MIN_FINAL_STATUS = 200
/** The maximum number of characters of invalid values that are kept. */
const MAX_INVALID_VALUES_LENGTH = 60
/** The values of the draining header that mean false, in lower case. */
const FALSE_VALUES: ReadonlySet<string> = new Set(['', '0', 'false', 'no'])

/** Parses the notices in the headers of any response. */
export function parseNotices (options: ParseNoticesOptions): Notices {
  const { headers, drainingHeader = DRAINING_HEADER, limitHeader = LIMIT_HEADER, status } = options
  const isDraining = getValues(headers, drainingHeader).some((value) => !FALSE_VALUES.has(value.trim().toLowerCase()))
  const limit = parseLimit(getValues(headers, limitHeader), { isInterim: status < MIN_FINAL_STATUS })
  const notices: Notices = { isDraining, limit: limit.notice, ...parseBackoff(options) }
  const invalidValues = [notices.invalidValues, limit.invalidValues].filter((text) => text !== undefined)
  return invalidValues.length === 0 ? notices : { ...notices, invalidValues: invalidValues.join(' | ').slice(0, MAX_INVALID_VALUES_LENGTH) }
}

function parseBackoff ({ status, headers, now = Date.now() }: ParseNoticesOptions): Pick<Notices, 'backoffMs' | 'invalidValues'> {
  const values = BACKOFF_STATUSES.has(status) ? getValues(headers, 'retry-after') : []
  if (values.length === 0) return { backoffMs: undefined }
  const [date] = getValues(headers, 'date')
  const times = values.map((text) => parseRetryAfter(text, { date, now })).filter((ms) => ms !== undefined)
  if (times.length === 0) return { backoffMs: undefined, invalidValues: values.join(' | ').slice(0, MAX_INVALID_VALUES_LENGTH) }
  return { backoffMs: Math.max(...times) }
}

/** Returns all values of a header, which may occur several times. */
function getValues (headers: ResponseHeaders, name: string): string[] {
  const value = headers[name]
  if (value === undefined) return []
  return Array.isArray(value) ? value : [value]
}

/** Describes notices for a log line; undefined if there are none. */
export function describeNotices ({ isDraining, backoffMs, limit, invalidValues }: Notices): string | undefined {
  const parts = [
    ...(isDraining ? ['draining'] : []),
    ...(backoffMs === undefined ? [] : [`backoff of ${Math.round(backoffMs)} ms requested`]),
    ...(limit?.perSecond === undefined ? [] : [`limit of ${limit.perSecond} requests per second from all boxes advertised`]),
    ...(invalidValues === undefined ? [] : [`invalid header values: ${invalidValues}`])
  ]
  return parts.length === 0 ? undefined : parts.join(', ')
}
