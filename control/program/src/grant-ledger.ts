/**
 * Which grants to send to cold endpoints were given, and how much may still be granted. No sockets, no timers: time is an
 * argument, by one monotonic clock.
 *
 * A grant is used between the moment at which it is given and `GRANT_USE_MS` after it was asked for, which was earlier; a
 * request that was dispatched by then has been sent, or never is, within `SENT_WITHIN_MS`. So whatever is sent to an endpoint
 * within one window comes from grants of one span, and their sum is bounded.
 */
import { type Grant } from '@gullwall/transport.messages'

/** The time in which an endpoint's requests are counted, in ms. */
export const WINDOW_MS = 1000
/** For how long after it was asked for a grant is used, in ms: a round trip through two control processes and a few arrivals. */
export const GRANT_USE_MS = 500
/** A request that was dispatched under a grant has been sent within this time or never is, in ms: to connect takes 350 at most. */
export const SENT_WITHIN_MS = 400
/** How much faster the clock of the ledger may run than that of a box that uses a grant, with reserve: clocks differ by 0.02 each. */
const CLOCK_MARGIN = 0.05
/** Grants further apart than this have nothing in one window, in ms. */
export const SPAN_MS = Math.ceil((1 + CLOCK_MARGIN) * (WINDOW_MS + GRANT_USE_MS + SENT_WITHIN_MS))
/** An endpoint is granted nothing for so long after it was first asked for, in ms: boxes that had not heard of it sent as to a warm one. */
export const SETTLE_MS = 1100
/** The most requests of one grant: what one box can't use in time is lost to all. */
export const MAX_GRANT = 5
/** Within this part of the span the same part of the bound is granted, so that an endpoint has its work evenly. */
const PACED_SHARE = 0.5
/** An endpoint that nobody has asked for is forgotten after this time, in ms: longer than the span, and than pauses of light traffic. */
const FORGET_MS = 30_000
/** After the end that it told, an endpoint that is cold for longer than this has turned cold again, in ms: more than clocks do. */
const TURNED_COLD_MS = 500
/** A box that was refused asks again after this time at the earliest, in ms. */
const LEAST_WAIT_MS = 50

/** What was granted of one endpoint. */
interface Account {
  /** When it was first asked for, since the start or since it has turned cold again. */
  firstAskedAt: number
  /** Until when it is cold by its word. */
  coldUntil: number | undefined
  askedAt: number
  /** Oldest first; none older than the span. */
  grants: Array<{ at: number, requests: number }>
}

export interface LedgerAsk {
  incarnation: string
  /** How many requests are wished for. */
  requests: number
  /** The most that the endpoint may get within any window. */
  bound: number
  /** What it said last, by the clock of the ledger; none where it does not say. */
  word?: { heardAt: number, coldMs: number } | undefined
}

export interface LedgerOptions {
  /** Nothing is granted before: what another ledger has granted may still be sent. */
  opensAt: number
  spanMs?: number
  settleMs?: number
}

export class GrantLedger {
  private readonly accounts = new Map<string, Account>()
  private readonly opensAt: number
  private readonly spanMs: number
  private readonly settleMs: number

  constructor ({ opensAt, spanMs = SPAN_MS, settleMs = SETTLE_MS }: LedgerOptions) {
    this.opensAt = opensAt
    this.spanMs = spanMs
    this.settleMs = settleMs
  }

  /** Grants what may be sent to an endpoint, or tells after which time to ask again. */
  grant ({ incarnation, requests, bound, word }: LedgerAsk, now: number): Grant {
    const account = this.accountOf(incarnation, now)
    if (hasTurnedCold(account, word)) account.firstAskedAt = now
    account.askedAt = now
    account.grants = account.grants.filter(({ at }) => now - at <= this.spanMs)
    const opensAt = Math.max(this.opensAt, account.firstAskedAt + this.settleMs)
    if (now < opensAt) return refusal(incarnation, opensAt - now)
    const granted = Math.min(requests, MAX_GRANT, this.freeOf(account, bound, now))
    if (granted < 1) return refusal(incarnation, this.untilFree(account, now))
    account.grants.push({ at: now, requests: granted })
    return { incarnation, requests: granted, withinMs: GRANT_USE_MS }
  }

  /** Forgets endpoints that nobody asks for any more. */
  sweep (now: number): void {
    for (const [incarnation, { askedAt }] of this.accounts) {
      if (now - askedAt > FORGET_MS) this.accounts.delete(incarnation)
    }
  }

  /** For how many endpoints grants are counted. */
  get size (): number {
    return this.accounts.size
  }

  private accountOf (incarnation: string, now: number): Account {
    const known = this.accounts.get(incarnation)
    if (known !== undefined) return known
    const account: Account = { firstAskedAt: now, coldUntil: undefined, askedAt: now, grants: [] }
    this.accounts.set(incarnation, account)
    return account
  }

  /** What may still be granted now, over the whole span and over its latest part. */
  private freeOf (account: Account, bound: number, now: number): number {
    const paced = Math.ceil(PACED_SHARE * bound)
    return Math.min(bound - grantedSince(account, now - this.spanMs), paced - grantedSince(account, now - PACED_SHARE * this.spanMs))
  }

  /** When the next grant ceases to count in the part of the span or in all of it, in ms from now. */
  private untilFree ({ grants }: Account, now: number): number {
    const waits = grants.flatMap(({ at }) => [at + PACED_SHARE * this.spanMs - now, at + this.spanMs - now])
    return Math.min(this.spanMs, ...waits.filter((ms) => ms > 0))
  }
}

/** Notes the word of an endpoint; true if it was warm in between, so that boxes may still send as to a warm one. */
function hasTurnedCold (account: Account, word: LedgerAsk['word']): boolean {
  if (word === undefined || word.coldMs === 0) return false
  const { coldUntil } = account
  const until = word.heardAt + word.coldMs
  account.coldUntil = Math.max(until, coldUntil ?? -Infinity)
  return coldUntil !== undefined && word.heardAt > coldUntil && word.coldMs > TURNED_COLD_MS
}

function grantedSince ({ grants }: Account, since: number): number {
  return grants.reduce((sum, { at, requests }) => at >= since ? sum + requests : sum, 0)
}

function refusal (incarnation: string, waitMs: number): Grant {
  return { incarnation, requests: 0, withinMs: Math.max(LEAST_WAIT_MS, Math.ceil(waitMs)) }
}
