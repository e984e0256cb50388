/** How long a request waits for an endpoint, and after which delay the caller of a refused request may retry. */
import { type Call } from './call.ts'

/** Share of its target for which a request waits until an endpoint is known or has capacity. */
const WAIT_SHARE_OF_TARGET = 0.25
/**
 * Maximum time for which a request that may have run, and therefore can't be refused, waits for the end of a backoff, in ms. Callers
 * abandon a stream after two seconds without an event at the earliest.
 */
const MAX_RESUME_WAIT_MS = 2000
/** Time after the end of a backoff over which the retries of refused callers are spread, in ms. */
const RETRY_SPREAD_MS = 1000
/** Number of tiers that retry one after the other; tiers beyond this number retry with the last one. */
const RETRY_TIERS = 4
/** Lead of a waiting request over requests of the next lower tier, in ms. A finite lead ensures that no tier starves. */
const TIER_HEAD_START_MS = 200

export interface EndpointWaitOptions {
  call: Pick<Call, 'arrivedAt' | 'deadline' | 'route'>
  /** When a request that may have run, and has untried endpoints, began to wait; undefined for a request that can still be refused. */
  resumedAt: number | undefined
  /** Time until the first endpoint accepts requests again, in ms; 0 if one accepts requests now. */
  availabilityDelayMs: number
  now: number
}

/** Returns until when a request waits, by the monotonic clock; `now` if no endpoint will accept the request within its maximum wait. */
export function findWaitDeadline ({ call, resumedAt, availabilityDelayMs, now }: EndpointWaitOptions): number {
  const { arrivedAt, deadline, route } = call
  const waitDeadline = Math.min(deadline, (resumedAt ?? arrivedAt) + WAIT_SHARE_OF_TARGET * route.targetMs)
  const availableAt = now + availabilityDelayMs
  if (availabilityDelayMs <= 0 || availableAt <= waitDeadline) return waitDeadline
  if (resumedAt === undefined) return now
  const resumeDeadline = Math.min(deadline, resumedAt + MAX_RESUME_WAIT_MS)
  // Waits beyond `availableAt`, since slow start may delay the request further.
  return availableAt <= resumeDeadline ? resumeDeadline : now
}

/**
 * Returns the retry delay for a refused caller, in ms. Callers retry after the endpoints accept requests again, spread over time with
 * the more urgent tiers first.
 */
export function chooseRetryAfterMs (availabilityDelayMs: number, tier: number, random: () => number = Math.random): number {
  const slot = Math.min(tier, RETRY_TIERS - 1)
  return availabilityDelayMs + RETRY_SPREAD_MS * (slot + random()) / RETRY_TIERS
}

/** Returns the rank by which waiting requests are woken; the lowest rank is first. */
export function waitRank ({ arrivedAt, tier }: Pick<Call, 'arrivedAt' | 'tier'>): number {
  return arrivedAt + tier * TIER_HEAD_START_MS
}
