/**
 * Records the grants to send requests to bounded endpoints and computes how many more requests may be granted. The ledger has no
 * sockets and no timers; callers pass the time of one monotonic clock. An endpoint may have several bounds: one because it is
 * cold, another because it advertises a limit. Each grant is counted once, and the smallest bound applies.
 *
 * A box may use a grant from the time at which it is given until its validity ends. The validity is counted from the time of the
 * request, which is earlier. A request that was dispatched within the validity is sent within `maxSendDelayMs` after it or not at
 * all. All requests that reach an endpoint within one window therefore come from grants of one accounting window, and the ledger
 * limits the sum of these grants.
 */
import { createRateBound, SendLog, type RateBound } from '@gullwall/routing.rates'
import { type Grant } from '@gullwall/transport.messages'

/** A bound on the requests that are sent to an endpoint. */
export interface GrantBound extends RateBound {
  /** Validity of a grant, counted from the time of its request, in ms. */
  validMs: number
  /** Longest time between the end of the validity and the sending of a request that was dispatched within the validity, in ms. */
  maxSendDelayMs: number
  /** Largest number of requests in one grant. Requests that a box does not use within the validity are lost to all boxes. */
  maxRequestsPerGrant: number
  /** Whether refused boxes get staggered retry times, instead of all retrying as soon as requests are available. */
  isQueued: boolean
  /** Delay after the first request for an endpoint, in ms. Boxes that do not know the bound yet send requests without grants. */
  initialDelayMs: number
}

/** Window of the bound of a cold endpoint, in ms. */
export const COLD_WINDOW_MS = 1000
/** Validity of a grant for a cold endpoint, in ms: a round trip through two control processes and a few request arrivals. */
export const COLD_GRANT_VALID_MS = 500
/** Longest sending delay after the validity of a grant for a cold endpoint, in ms. Connecting takes at most 350 ms. */
export const COLD_MAX_SEND_DELAY_MS = 400
/** Largest number of requests in one grant for a cold endpoint. */
export const COLD_MAX_REQUESTS_PER_GRANT = 5
/** Validity of a grant under an advertised limit, in ms. Requests wait for the grant and send their first byte within the validity. */
export const LIMIT_GRANT_VALID_MS = 250
/** Largest relative difference by which the clock of the ledger may run faster than the clock of an endpoint. */
const ENDPOINT_CLOCK_MARGIN = 0.025
/** Largest relative difference by which the clock of the ledger may run faster than the clock of a box that uses a grant. */
const BOX_CLOCK_MARGIN = 0.05
/** Delay before the first grant for a cold endpoint, in ms: one heartbeat interval and its propagation to all boxes. */
export const COLD_INITIAL_DELAY_MS = 1100
/** Delay before the first grant under an advertised limit, in ms: the propagation of the limit to all boxes. */
export const LIMIT_INITIAL_DELAY_MS = 250
const COLD_PARTS = 2
/** An endpoint without requests is removed after this time, in ms. It exceeds every accounting window and the gaps of light traffic. */
const IDLE_RETENTION_MS = 30_000
/** An endpoint that reports more cold time than this after its reported end has become cold again, in ms. The time exceeds clock drift. */
const COLD_AGAIN_MS = 500
/** Shortest retry delay of a refused box, in ms. */
const MIN_RETRY_MS = 50
/** Interval between the retries of queued boxes, in ms. One grant request takes less, so that the first box gets the free request. */
const RETRY_INTERVAL_MS = 20
/** A box that misses its retry time by more than this is removed from the queue, in ms. */
const QUEUE_TIMEOUT_MS = 1000

/** Returns the bound of a cold endpoint that may get `requests` requests within any window of `COLD_WINDOW_MS`. */
export function createColdGrantBound (requests: number): GrantBound {
  return {
    requests,
    windowMs: COLD_WINDOW_MS,
    segments: COLD_PARTS,
    extraPerSegment: 0,
    validMs: COLD_GRANT_VALID_MS,
    maxSendDelayMs: COLD_MAX_SEND_DELAY_MS,
    maxRequestsPerGrant: COLD_MAX_REQUESTS_PER_GRANT,
    isQueued: false,
    initialDelayMs: COLD_INITIAL_DELAY_MS
  }
}

/** Returns the bound of an endpoint that advertises a limit in requests per second. Returns undefined if the rate is too high to bound. */
export function createLimitGrantBound (perSecond: number): GrantBound | undefined {
  const bound = createRateBound(perSecond)
  if (bound === undefined) return undefined
  return {
    ...bound,
    validMs: LIMIT_GRANT_VALID_MS,
    maxSendDelayMs: 0,
    maxRequestsPerGrant: bound.requests,
    isQueued: true,
    initialDelayMs: LIMIT_INITIAL_DELAY_MS
  }
}

/** Returns the accounting window of a bound, in ms. Requests of grants that are further apart than this never fall into one window. */
export function computeAccountingWindowMs ({ windowMs, validMs, maxSendDelayMs }: GrantBound): number {
  return Math.ceil((1 + ENDPOINT_CLOCK_MARGIN) * windowMs + (1 + BOX_CLOCK_MARGIN) * (validMs + maxSendDelayMs))
}

/** The accounting window of the grants for cold endpoints, in ms. */
export const COLD_ACCOUNTING_WINDOW_MS = computeAccountingWindowMs(createColdGrantBound(0))

/** The grants for one endpoint. */
interface Account {
  /** Time of the first request, since the ledger started or since the endpoint became cold again. */
  firstRequestAt: number
  /** Whether the possible grants of the previous leader's ledger are counted. */
  isPreviousLeaderCounted: boolean
  /** End of the cold period that the endpoint reported. */
  coldUntil: number | undefined
  lastRequestAt: number
  grants: SendLog
  /** Retry times of the boxes that have had no grant since their refusal. The box that waits longest comes first. */
  queue: Map<string, number>
}

export interface LedgerRequest {
  incarnation: string
  /** Name of the requesting box. */
  box: string
  /** Number of requests to grant. */
  requests: number
  /** All bounds of the endpoint. An endpoint without bounds is granted nothing. */
  bounds: readonly GrantBound[]
  /** The latest cold status of the endpoint, by the clock of the ledger; undefined if the endpoint does not report one. */
  coldStatus?: { receivedAt: number, coldMs: number } | undefined
}

export interface LedgerOptions {
  /**
   * Start of the grants for cold endpoints. Requests of the previous leader's grants may be sent until then. That leader gave its
   * last grant at least `COLD_ACCOUNTING_WINDOW_MS` before. Grants under advertised limits start at the time of that last grant,
   * reduced by the possible grants of the previous leader.
   */
  startsAt: number
  computeAccountingWindowMs?: (bound: GrantBound) => number
  /** Replaces the `initialDelayMs` of the bounds, in ms. */
  initialDelayMs?: number
}

export class GrantLedger {
  private readonly accounts = new Map<string, Account>()
  private readonly startsAt: number
  private readonly computeWindowMs: (bound: GrantBound) => number
  private readonly initialDelayMs: number | undefined

  constructor ({ startsAt, computeAccountingWindowMs: computeWindowMs = computeAccountingWindowMs, initialDelayMs }: LedgerOptions) {
    this.startsAt = startsAt
    this.computeWindowMs = computeWindowMs
    this.initialDelayMs = initialDelayMs
  }

  /** Grants requests to an endpoint, or returns a grant of 0 requests with the retry delay. */
  grant ({ incarnation, box, requests, bounds, coldStatus }: LedgerRequest, now: number): Grant {
    const account = this.findOrCreateAccount(incarnation, now)
    if (updateColdUntil(account, coldStatus)) account.firstRequestAt = now
    account.lastRequestAt = now
    const windows = bounds.map((bound) => ({ ...bound, windowMs: this.computeWindowMs(bound) }))
    const longest = Math.max(COLD_ACCOUNTING_WINDOW_MS, ...windows.map(({ windowMs }) => windowMs))
    account.grants.dropBefore(now - Math.max(longest, IDLE_RETENTION_MS))
    const earliestAt = this.findStart(account, windows)
    if (now < earliestAt) return createRefusal(incarnation, queueRetry(account, box, { bounds, freeMs: earliestAt - now, now }))
    const available = windows.map((bound) => Math.min(bound.maxRequestsPerGrant, account.grants.remaining(bound, now)))
    const granted = Math.min(requests, ...(available.length === 0 ? [0] : available))
    if (granted < 1) return createRefusal(incarnation, queueRetry(account, box, { bounds, freeMs: findWaitMs(account, windows, now), now }))
    account.grants.add(granted, now)
    account.queue.delete(box)
    return { incarnation, requests: granted, withinMs: Math.min(...bounds.map(({ validMs }) => validMs)) }
  }

  /** Removes endpoints without recent requests. */
  sweep (now: number): void {
    for (const [incarnation, { lastRequestAt }] of this.accounts) {
      if (now - lastRequestAt > IDLE_RETENTION_MS) this.accounts.delete(incarnation)
    }
  }

  /** Number of endpoints whose grants are counted. */
  get endpointCount (): number {
    return this.accounts.size
  }

  /** Returns when the first request may be granted under all bounds. Counts the possible grants of the previous leader under a limit. */
  private findStart (account: Account, windows: readonly GrantBound[]): number {
    const previousLeaderEndedAt = this.startsAt - COLD_ACCOUNTING_WINDOW_MS
    const limit = windows.find(({ isQueued }) => isQueued)
    if (limit !== undefined && !account.isPreviousLeaderCounted) {
      account.isPreviousLeaderCounted = true
      account.grants.assumeFullUse(limit, previousLeaderEndedAt)
    }
    const isCold = windows.some(({ isQueued }) => !isQueued)
    const initialDelayMs = this.initialDelayMs ?? Math.max(0, ...windows.map((bound) => bound.initialDelayMs))
    return Math.max(isCold ? this.startsAt : previousLeaderEndedAt, account.firstRequestAt + initialDelayMs)
  }

  private findOrCreateAccount (incarnation: string, now: number): Account {
    const known = this.accounts.get(incarnation)
    if (known !== undefined) return known
    const account: Account = {
      firstRequestAt: now, isPreviousLeaderCounted: false, coldUntil: undefined, lastRequestAt: now, grants: new SendLog(), queue: new Map()
    }
    this.accounts.set(incarnation, account)
    return account
  }
}

interface Refusal {
  bounds: readonly GrantBound[]
  /** Time until requests are available, in ms. */
  freeMs: number
  now: number
}

/**
 * Returns the retry delay of a refused box, in ms, and adds the box to the queue of a queued bound. With equal delays all refused
 * boxes would compete for the same request, and the fastest box would always win.
 */
function queueRetry ({ queue }: Account, box: string, { bounds, freeMs, now }: Refusal): number {
  if (!bounds.some(({ isQueued }) => isQueued)) return freeMs
  for (const [queuedBox, retryAt] of queue) if (now - retryAt > QUEUE_TIMEOUT_MS) queue.delete(queuedBox)
  const place = queue.has(box) ? [...queue.keys()].indexOf(box) : queue.size
  const waitMs = freeMs + place * RETRY_INTERVAL_MS
  queue.set(box, now + waitMs)
  return waitMs
}

/** Returns the time until every exhausted bound allows a request, in ms. */
function findWaitMs ({ grants }: Account, windows: readonly RateBound[], now: number): number {
  const exhausted = windows.filter((bound) => grants.remaining(bound, now) < 1)
  return Math.max(MIN_RETRY_MS, ...exhausted.map((bound) => grants.waitMs(bound, now)))
}

/** Updates the cold period. Returns true if the endpoint was warm in between, so that boxes may still send as to a warm endpoint. */
function updateColdUntil (account: Account, status: LedgerRequest['coldStatus']): boolean {
  if (status === undefined || status.coldMs === 0) return false
  const { coldUntil } = account
  const until = status.receivedAt + status.coldMs
  account.coldUntil = Math.max(until, coldUntil ?? -Infinity)
  return coldUntil !== undefined && status.receivedAt > coldUntil && status.coldMs > COLD_AGAIN_MS
}

function createRefusal (incarnation: string, waitMs: number): Grant {
  return { incarnation, requests: 0, withinMs: Math.max(MIN_RETRY_MS, Math.ceil(waitMs)) }
}
