/** Parses the `Retry-After` header (RFC 9110, section 10.2.3), which contains seconds or a date. */

const MS_PER_SECOND = 1000
/** Longer times are reduced to this one, in ms: they are probably in another unit, and an endpoint can request a further backoff. */
export const MAX_BACKOFF_MS = 24 * 60 * 60 * MS_PER_SECOND

/** The standard has whole seconds, but some endpoints send fractions. */
const SECONDS = /^(?:\d+\.?\d*|\.\d+)$/
/** All date formats of the standard begin with the day of the week. The asctime format has no time zone. */
const DATE = /^[A-Z][a-z]+,? .*\d{2}:\d{2}:\d{2}/
const HAS_TIME_ZONE = /(?:GMT|UTC|[+-]\d{4})$/

/** The time of a response, to which a date in `Retry-After` is relative. */
export interface ResponseTime {
  /** The `Date` header of the response, which comes from the same clock as a date in `Retry-After`. */
  date: string | undefined
  /** The local time in Unix ms, which is used if the response has no valid `Date` header. */
  now: number
}

/** Parses a `Retry-After` value to a time in ms; 0 if its date has passed, and undefined if the value is invalid. */
export function parseRetryAfter (text: string, { date, now }: ResponseTime): number | undefined {
  const trimmed = text.trim()
  if (SECONDS.test(trimmed)) return Math.min(MAX_BACKOFF_MS, Number(trimmed) * MS_PER_SECOND)
  const until = parseDate(trimmed)
  if (until === undefined) return undefined
  const from = parseDate(date?.trim() ?? '') ?? now
  return Math.min(MAX_BACKOFF_MS, Math.max(0, until - from))
}

function parseDate (text: string): number | undefined {
  if (!DATE.test(text)) return undefined
  const time = Date.parse(HAS_TIME_ZONE.test(text) ? text : `${text} GMT`)
  return Number.isFinite(time) ? time : undefined
}
