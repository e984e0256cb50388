/** Refuses requests while all their endpoints are in a backoff that they requested. */
import { type EndpointView, type Refusal, type RoutedRequest } from './types.ts'

/** Computes the time in ms until the first backoff of some endpoints ends; 0 if one is in no backoff, or there are no endpoints. */
export function computeRemainingBackoffMs (views: readonly EndpointView[], now: number): number {
  if (views.length === 0) return 0
  return Math.max(0, Math.min(...views.map(({ backoffUntil }) => backoffUntil)) - now)
}

/** Refuses a request whose maximum wait ends before the first backoff of its endpoints. */
export function refuseDuringBackoff (request: RoutedRequest, views: readonly EndpointView[], now: number): Refusal | undefined {
  const backoffMs = computeRemainingBackoffMs(views, now)
  if (request.late !== 'refuse' || backoffMs <= request.maxWaitMs - (now - request.arrivedAt)) return undefined
  return {
    reason: 'resting',
    explanation: `all ${views.length} endpoints are in backoff for ${Math.round(backoffMs)} ms`,
    retryAfterMs: backoffMs
  }
}
