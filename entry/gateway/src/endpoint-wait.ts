/** For how long a request waits for an endpoint, and when the caller of one that can't is asked to come back. */
import { type Call } from './call.ts'

/** The share of its target that a request waits for an endpoint to be known, or to have room. */
const PATIENCE_SHARE = 0.25
/**
 * A request that may have run, and so can't be refused, waits so long for an endpoint to come back from a rest, in ms: the users'
 * callers give a stream up after two seconds without an event at the soonest.
 */
const MAX_RESUME_WAIT_MS = 2000
/** Callers that are asked to wait for the end of a rest come back spread over this time after it, in ms. */
const RETURN_SPREAD_MS = 1000
/** The tiers that come back one after the other; lower ones come with the last. */
const RETURN_TIERS = 4
/** A request waits ahead of those of the next tier that came so much sooner, in ms. Others go first, so that no tier starves. */
const TIER_HEAD_START_MS = 200

export interface EndpointWaitOptions {
  call: Pick<Call, 'arrivedAt' | 'deadline' | 'route'>
  /** When it began to wait, for one that may have run and has endpoints that it has not tried; it can't be refused any more. */
  resumedAt: number | undefined
  /** For how long every endpoint that it might have wants nothing, in ms; 0 where one takes work. */
  availabilityDelayMs: number
  now: number
}

/** Gives until when a request waits, by the monotonic clock; what would not have an endpoint by then is given up at once. */
export function findWaitDeadline ({ call, resumedAt, availabilityDelayMs, now }: EndpointWaitOptions): number {
  const { arrivedAt, deadline, route } = call
  const until = Math.min(deadline, (resumedAt ?? arrivedAt) + PATIENCE_SHARE * route.targetMs)
  const restEnds = now + availabilityDelayMs
  if (availabilityDelayMs <= 0 || restEnds <= until) return until
  if (resumedAt === undefined) return now
  const longest = Math.min(deadline, resumedAt + MAX_RESUME_WAIT_MS)
  // All of that time, since the endpoint comes back by slow start.
  return restEnds <= longest ? longest : now
}

/** Gives after which time a caller is asked to come back where all endpoints rest, in ms: the more urgent first, and not all at once. */
export function chooseRetryAfterMs (restMs: number, tier: number, random: () => number = Math.random): number {
  const place = Math.min(tier, RETURN_TIERS - 1)
  return restMs + RETURN_SPREAD_MS * (place + random()) / RETURN_TIERS
}

/** The order in which requests that wait look again; the lowest first. */
export function waitRank ({ arrivedAt, tier }: Pick<Call, 'arrivedAt' | 'tier'>): number {
  return arrivedAt + tier * TIER_HEAD_START_MS
}
