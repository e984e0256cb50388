/** Bounds on how many requests are sent to one endpoint. */

/** At most so many requests within any span of time of this length. */
export interface RateBound {
  requests: number
  windowMs: number
  /** Within each such part of the window the same part of the requests is sent, so that an endpoint has its work evenly. */
  segments: number
  /** How many more than that, since requests do not come evenly. */
  extraPerSegment: number
}

/** The most requests within one part of the window. */
export function computeSegmentLimit ({ requests, segments, extraPerSegment }: RateBound): number {
  return Math.min(requests, Math.ceil(requests / segments) + extraPerSegment)
}

/** Over any time of this length an endpoint gets no more than it named, in ms; longer only where it named less than one request in it. */
export const LIMIT_WINDOW_MS = 4000
/**
 * An endpoint that names less than this is sent so many requests a second all the same: only an answer can tell that its limit
 * is over, and nobody would ask it any more.
 */
export const MIN_REQUESTS_PER_SECOND = 0.1
/** An endpoint that names more than this is not counted, in requests a second: it is more than any single one is ever sent. */
export const MAX_METERED_REQUESTS_PER_SECOND = 10_000

const MS_PER_SECOND = 1000
const LIMIT_PARTS = 4
const LIMIT_EXTRA = 1

/** The bound of an endpoint that takes so many requests a second; undefined where that bounds nothing. Requests are whole. */
export function createRateBound (perSecond: number): RateBound | undefined {
  if (perSecond > MAX_METERED_REQUESTS_PER_SECOND) return undefined
  const rate = Math.max(perSecond, MIN_REQUESTS_PER_SECOND)
  const requests = Math.ceil(rate * LIMIT_WINDOW_MS / MS_PER_SECOND)
  return { requests, windowMs: requests / rate * MS_PER_SECOND, segments: LIMIT_PARTS, extraPerSegment: LIMIT_EXTRA }
}
