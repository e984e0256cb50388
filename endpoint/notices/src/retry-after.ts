/** Reads the `Retry-After` header (RFC 9110, section 10.2.3): seconds, or a date. */

const MS_PER_SECOND = 1000
/** A longer time is taken for this one, in ms: beyond a day it is more likely meant in another unit, and it can be asked for again. */
export const MAX_BACKOFF_MS = 24 * 60 * 60 * MS_PER_SECOND

/** Whole seconds by the standard; some endpoints give fractions. */
const SECONDS = /^(?:\d+\.?\d*|\.\d+)$/
/** The forms of a date that the standard has begin with the day of the week; the oldest of them names no time zone. */
const DATE = /^[A-Z][a-z]+,? .*\d{2}:\d{2}:\d{2}/
const NAMES_ZONE = /(?:GMT|UTC|[+-]\d{4})$/

/** When the answer was made, for a date in it. */
export interface ResponseTime {
  /** The answer's own `Date` header, which goes by the same clock as a date in `Retry-After`. */
  date: string | undefined
  /** The time of day here, Unix ms, where the answer does not tell its own. */
  now: number
}

/** Gives the time that is asked for, in ms, 0 where it has passed already; undefined if it can not be understood. */
export function parseRetryAfter (text: string, { date, now }: ResponseTime): number | undefined {
  const trimmed = text.trim()
  if (SECONDS.test(trimmed)) return Math.min(MAX_BACKOFF_MS, Number(trimmed) * MS_PER_SECOND)
  const until = readDate(trimmed)
  if (until === undefined) return undefined
  const from = readDate(date?.trim() ?? '') ?? now
  return Math.min(MAX_BACKOFF_MS, Math.max(0, until - from))
}

function readDate (text: string): number | undefined {
  if (!DATE.test(text)) return undefined
  const time = Date.parse(NAMES_ZONE.test(text) ? text : `${text} GMT`)
  return Number.isFinite(time) ? time : undefined
}
