/** Requests all of whose endpoints want nothing, by their own word. */
import { type EndpointView, type Refusal, type RoutedRequest } from './types.ts'

/** For how long every one of some endpoints wants nothing, in ms; 0 where one takes work, or there is none. */
export function computeRemainingBackoffMs (views: readonly EndpointView[], now: number): number {
  if (views.length === 0) return 0
  return Math.max(0, Math.min(...views.map(({ backoffUntil }) => backoffUntil)) - now)
}

/** Refuses a request whose wait would be over before any of its endpoints takes work again. */
export function refuseDuringBackoff (request: RoutedRequest, views: readonly EndpointView[], now: number): Refusal | undefined {
  const restMs = computeRemainingBackoffMs(views, now)
  if (request.late !== 'refuse' || restMs <= request.maxWaitMs - (now - request.arrivedAt)) return undefined
  return { reason: 'resting', explanation: `all ${views.length} endpoints want nothing for ${Math.round(restMs)} ms more`, retryAfterMs: restMs }
}
