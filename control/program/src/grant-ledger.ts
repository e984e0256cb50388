/**
 * Which grants to send to bounded endpoints were given, and how much may still be granted. No sockets, no timers: time is an
 * argument, by one monotonic clock. An endpoint may be bounded for several reasons (it is cold; it has named a limit): the
 * grants are counted once, and the smallest bound holds.
 *
 * A grant is used between the moment at which it is given and the end of its use, counted from when it was asked for, which was
 * earlier; a request that was dispatched by then has been sent, or never is, soon after. So whatever is sent to an endpoint
 * within one window comes from grants of one span, and their sum is bounded.
 */
import { createRateBound, SendLog, type RateBound } from '@gullwall/routing.rates'
import { type Grant } from '@gullwall/transport.messages'

/** One reason to bound what an endpoint is sent. */
export interface GrantBound extends RateBound {
  /** For how long after it was asked for a grant is used, in ms. */
  validMs: number
  /** A request that was dispatched within the use has been sent within this time after it or never is, in ms. */
  maxSendDelayMs: number
  /** The most requests of one grant: what one box can't use in time is lost to all. */
  maxRequestsPerGrant: number
  /** Whether boxes that are refused are asked to come back one after the other, and not as soon as there is more. */
  isQueued: boolean
  /** Nothing is granted for so long after the endpoint was first asked for, in ms: boxes that had not heard of it sent as they liked. */
  initialDelayMs: number
}

/** The time in which a cold endpoint's requests are counted, in ms. */
export const COLD_WINDOW_MS = 1000
/** For how long a grant to a cold endpoint is used, in ms: a round trip through two control processes and a few arrivals. */
export const COLD_GRANT_VALID_MS = 500
/** After the use of such a grant, in ms: to connect takes 350 at most. */
export const COLD_MAX_SEND_DELAY_MS = 400
/** The most requests of one grant to a cold endpoint. */
export const COLD_MAX_REQUESTS_PER_GRANT = 5
/** For how long a grant under a named limit is used, in ms: the requests wait for it, and the first byte leaves within the use. */
export const LIMIT_GRANT_VALID_MS = 250
/** How much faster the clock of the ledger may run than that of an endpoint, and than that of a box that uses a grant. */
const ENDPOINT_CLOCK_MARGIN = 0.025
const BOX_CLOCK_MARGIN = 0.05
/** A cold endpoint settles for so long, in ms: a heartbeat and its way to all boxes. */
export const COLD_INITIAL_DELAY_MS = 1100
/** One that has named a limit, in ms: the way of the word to all boxes. */
export const LIMIT_INITIAL_DELAY_MS = 250
const COLD_PARTS = 2
/** An endpoint that nobody has asked for is forgotten after this time, in ms: longer than any span, and than pauses of light traffic. */
const FORGET_MS = 30_000
/** After the end that it told, an endpoint that is cold for longer than this has turned cold again, in ms: more than clocks do. */
const TURNED_COLD_MS = 500
/** A box that was refused asks again after this time at the earliest, in ms. */
const LEAST_WAIT_MS = 50
/** Boxes that wait for the same request come back so far apart, in ms: the time for an ask, so that the first one has it. */
const TURN_MS = 20
/** A box that is later than this for its turn has no use for it any more, in ms. */
const LATE_MS = 1000

/** The bound of a cold endpoint, for so many requests within any second. */
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

/** The bound of an endpoint that takes so many requests a second; undefined where that bounds nothing. */
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

/** Grants that are further apart than this have nothing in one window of the bound, in ms. */
export function computeAccountingWindowMs ({ windowMs, validMs, maxSendDelayMs }: GrantBound): number {
  return Math.ceil((1 + ENDPOINT_CLOCK_MARGIN) * windowMs + (1 + BOX_CLOCK_MARGIN) * (validMs + maxSendDelayMs))
}

/** The span of grants to cold endpoints, in ms. */
export const COLD_ACCOUNTING_WINDOW_MS = computeAccountingWindowMs(createColdGrantBound(0))

/** What was granted of one endpoint. */
interface Account {
  /** When it was first asked for, since the start or since it has turned cold again. */
  firstAskedAt: number
  /** Whether what another ledger may have granted of it is counted. */
  isAssumed: boolean
  /** Until when it is cold by its word. */
  coldUntil: number | undefined
  askedAt: number
  grants: SendLog
  /** When the boxes that were refused, and have had no grant since, are to come back; the one that waits longest first. */
  queue: Map<string, number>
}

export interface LedgerRequest {
  incarnation: string
  /** Who asks. */
  box: string
  /** How many requests are wished for. */
  requests: number
  /** All reasons to bound it; one that is bounded by none is granted nothing. */
  bounds: readonly GrantBound[]
  /** What it said last, by the clock of the ledger; none where it does not say. */
  coldStatus?: { receivedAt: number, coldMs: number } | undefined
}

export interface LedgerOptions {
  /**
   * Nothing is granted to cold endpoints before: what another ledger has granted may still be sent. It granted its last a span of such
   * grants earlier at the latest; from then on there are grants under limits, less what it may have granted of them.
   */
  startsAt: number
  computeAccountingWindowMs?: (bound: GrantBound) => number
  /** Instead of the times of the bounds, in ms. */
  initialDelayMs?: number
}

export class GrantLedger {
  private readonly accounts = new Map<string, Account>()
  private readonly opensAt: number
  private readonly spanOf: (bound: GrantBound) => number
  private readonly settleMs: number | undefined

  constructor ({ startsAt, computeAccountingWindowMs: span = computeAccountingWindowMs, initialDelayMs }: LedgerOptions) {
    this.opensAt = startsAt
    this.spanOf = span
    this.settleMs = initialDelayMs
  }

  /** Grants what may be sent to an endpoint, or tells after which time to ask again. */
  grant ({ incarnation, box, requests, bounds, coldStatus }: LedgerRequest, now: number): Grant {
    const account = this.accountOf(incarnation, now)
    if (hasTurnedCold(account, coldStatus)) account.firstAskedAt = now
    account.askedAt = now
    const spans = bounds.map((bound) => ({ ...bound, windowMs: this.spanOf(bound) }))
    const longest = Math.max(COLD_ACCOUNTING_WINDOW_MS, ...spans.map(({ windowMs }) => windowMs))
    account.grants.dropBefore(now - Math.max(longest, FORGET_MS))
    const opensAt = this.opensFor(account, spans)
    if (now < opensAt) return refusal(incarnation, turnAfter(account, box, { bounds, freeMs: opensAt - now, now }))
    const free = spans.map((span) => Math.min(span.maxRequestsPerGrant, account.grants.remaining(span, now)))
    const granted = Math.min(requests, ...(free.length === 0 ? [0] : free))
    if (granted < 1) return refusal(incarnation, turnAfter(account, box, { bounds, freeMs: untilFree(account, spans, now), now }))
    account.grants.add(granted, now)
    account.queue.delete(box)
    return { incarnation, requests: granted, withinMs: Math.min(...bounds.map(({ validMs }) => validMs)) }
  }

  /** Forgets endpoints that nobody asks for any more. */
  sweep (now: number): void {
    for (const [incarnation, { askedAt }] of this.accounts) {
      if (now - askedAt > FORGET_MS) this.accounts.delete(incarnation)
    }
  }

  /** For how many endpoints grants are counted. */
  get endpointCount (): number {
    return this.accounts.size
  }

  /** When the first request may be granted under all of the bounds; counts what another ledger may have granted under limits. */
  private opensFor (account: Account, spans: readonly GrantBound[]): number {
    const othersEndedAt = this.opensAt - COLD_ACCOUNTING_WINDOW_MS
    const limit = spans.find(({ isQueued }) => isQueued)
    if (limit !== undefined && !account.isAssumed) {
      account.isAssumed = true
      account.grants.assumeFullUse(limit, othersEndedAt)
    }
    const isCold = spans.some(({ isQueued }) => !isQueued)
    const settleMs = this.settleMs ?? Math.max(0, ...spans.map((bound) => bound.initialDelayMs))
    return Math.max(isCold ? this.opensAt : othersEndedAt, account.firstAskedAt + settleMs)
  }

  private accountOf (incarnation: string, now: number): Account {
    const known = this.accounts.get(incarnation)
    if (known !== undefined) return known
    const account: Account = {
      firstAskedAt: now, isAssumed: false, coldUntil: undefined, askedAt: now, grants: new SendLog(), queue: new Map()
    }
    this.accounts.set(incarnation, account)
    return account
  }
}

interface Refused {
  bounds: readonly GrantBound[]
  /** When there is more, in ms from now. */
  freeMs: number
  now: number
}

/**
 * After which time a box that was refused asks again, in ms: when there is more, and in its turn. All of them at once would ask
 * for the same request, and the quickest of them would always have it.
 */
function turnAfter ({ queue }: Account, box: string, { bounds, freeMs, now }: Refused): number {
  if (!bounds.some(({ isQueued }) => isQueued)) return freeMs
  for (const [other, turnAt] of queue) if (now - turnAt > LATE_MS) queue.delete(other)
  const place = queue.has(box) ? [...queue.keys()].indexOf(box) : queue.size
  const waitMs = freeMs + place * TURN_MS
  queue.set(box, now + waitMs)
  return waitMs
}

/** After which time each bound that is used up allows more, in ms. */
function untilFree ({ grants }: Account, spans: readonly RateBound[], now: number): number {
  const usedUp = spans.filter((span) => grants.remaining(span, now) < 1)
  return Math.max(LEAST_WAIT_MS, ...usedUp.map((span) => grants.waitMs(span, now)))
}

/** Notes the word of an endpoint; true if it was warm in between, so that boxes may still send as to a warm one. */
function hasTurnedCold (account: Account, word: LedgerRequest['coldStatus']): boolean {
  if (word === undefined || word.coldMs === 0) return false
  const { coldUntil } = account
  const until = word.receivedAt + word.coldMs
  account.coldUntil = Math.max(until, coldUntil ?? -Infinity)
  return coldUntil !== undefined && word.receivedAt > coldUntil && word.coldMs > TURNED_COLD_MS
}

function refusal (incarnation: string, waitMs: number): Grant {
  return { incarnation, requests: 0, withinMs: Math.max(LEAST_WAIT_MS, Math.ceil(waitMs)) }
}
