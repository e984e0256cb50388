/** Bounds on the number of requests sent to one endpoint. */

/** At most `requests` requests within any time window of `windowMs`. */
export interface RateBound {
  requests: number
  windowMs: number
  /** The window is divided into this number of segments, and the requests are spread evenly over them. */
  segments: number
  /** The requests that one segment allows beyond its even share, since arrivals are uneven. */
  extraPerSegment: number
}

/** Returns the maximum number of requests within one segment of the window. */
export function computeSegmentLimit ({ requests, segments, extraPerSegment }: RateBound): number {
  return Math.min(requests, Math.ceil(requests / segments) + extraPerSegment)
}

/** The window in which an advertised limit applies, in ms. It is longer only if the limit is below one request per window. */
export const LIMIT_WINDOW_MS = 4000
/**
 * The lowest rate that is applied, in requests per second. An endpoint that advertises less still receives this many requests,
 * since only a response can lift its limit.
 */
export const MIN_REQUESTS_PER_SECOND = 0.1
/** Limits above this rate, in requests per second, are ignored: no single endpoint receives that many requests. */
export const MAX_METERED_REQUESTS_PER_SECOND = 10_000

const MS_PER_SECOND = 1000
const LIMIT_SEGMENTS = 4
const LIMIT_EXTRA_PER_SEGMENT = 1

/**
 * Creates the bound for a limit in requests per second. The requests per window are rounded up, and the window is lengthened to
 * match the rate.
 * @returns undefined if the limit is too high to be applied
 */
export function createRateBound (perSecond: number): RateBound | undefined {
  if (perSecond > MAX_METERED_REQUESTS_PER_SECOND) return undefined
  const rate = Math.max(perSecond, MIN_REQUESTS_PER_SECOND)
  const requests = Math.ceil(rate * LIMIT_WINDOW_MS / MS_PER_SECOND)
  return { requests, windowMs: requests / rate * MS_PER_SECOND, segments: LIMIT_SEGMENTS, extraPerSegment: LIMIT_EXTRA_PER_SEGMENT }
}
