/**
 * Asks control for grants in the background, so that a choice never waits for one: one ask at a time, for as many requests as
 * this box has had lately, at few endpoints that it prefers to others. Boxes prefer different ones, so that they do not
 * contend for the same.
 */
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { hashName } from '@gullwall/routing.balancer'
import { type Grant, type GrantRequest } from '@gullwall/transport.messages'
import { type GrantPool } from './grant-pool.ts'

/** Grants are wished for the requests of this time, in ms: for so long a grant is usable. */
const USE_MS = 500
/** Two asks of a box are begun at least this time apart, in ms. */
const SPACING_MS = 50
/** So many asks a second are begun by all boxes together, at most: one process answers them. */
const ASKS_PER_SECOND = 2000
/** The same after an ask that was not answered, in ms: nobody may lead for a second or so. */
const FAILED_SPACING_MS = 400
/** After which it is seen again whether there is something to ask for, in ms: all endpoints are looked at for that. */
const NOTHING_SPACING_MS = 25
/** Requests beyond those of late, since they do not come evenly. */
const HEADROOM = 1
/** With this share of the grants that it needs a box does not ask for more yet; so busy boxes ask for many at once. */
const ENOUGH_SHARE = 0.5
/** The most requests of one wish; control grants no more at once. */
const MAX_WISH = 5
/** One ask names so many endpoints at most; the next one names others. */
const MAX_WISHES = 32

/** The time between two asks of one of so many boxes, in ms, so that all of them together do not ask more than is answered. */
export function grantRequestSpacingMs (boxes: number): number {
  return 1000 * boxes / ASKS_PER_SECOND
}

export interface GrantRequesterOptions {
  box: string
  logger: Logger
  requestGrants: (wishes: GrantRequest[]) => Promise<Grant[]>
  wake: () => void
  now: () => number
  grantPool: GrantPool
  /** How many boxes ask. */
  entryCount: () => number
  /** The limit that an endpoint has named, in requests a second; undefined where it takes any number. */
  advertisedLimitOf?: ((incarnation: string) => number | undefined) | undefined
}

/** An endpoint that a request could have had with a grant. */
interface Wished {
  incarnation: string
  service: string
  /** The lower, the rather this box asks for it. */
  rank: number
  /** It is not asked for again before, by what control has answered. */
  notBefore: number
  /** When a request could last have had it. */
  wishedAt: number
}

export class GrantRequester {
  /** Asks since the start, and those of them that nobody answered. */
  readonly totals = { requests: 0, failed: 0 }
  private readonly wished = new Map<string, Wished>()
  private readonly arrivals = new Map<string, number[]>()
  /** The requests of each service that were counted. */
  private readonly counted = new Map<string, WeakSet<object>>()
  private isAsking = false
  private timer: NodeJS.Timeout | undefined
  private nextAskAt = -Infinity

  constructor (private readonly options: GrantRequesterOptions) {}

  /** Counts a request of a service, once, however often it looks for an endpoint. */
  recordRequest (service: string, call: object): void {
    const counted = this.counted.get(service) ?? new WeakSet()
    this.counted.set(service, counted)
    if (counted.has(call)) return
    counted.add(call)
    const now = this.options.now()
    this.arrivals.set(service, [...this.recent(service, now), now])
  }

  /** Notes that a request could have an endpoint with a grant, and asks for it as soon as it may. */
  requestGrant ({ incarnation, service }: Pick<Wished, 'incarnation' | 'service'>): void {
    const now = this.options.now()
    const known = this.wished.get(incarnation)
    if (known !== undefined) known.wishedAt = now
    else this.wished.set(incarnation, { incarnation, service, rank: hashName(`${this.options.box} ${incarnation}`), notBefore: -Infinity, wishedAt: now })
    if (!this.isAsking && now >= this.nextAskAt) void this.askSoon()
  }

  forget (incarnation: string): void {
    this.wished.delete(incarnation)
  }

  /** Asks once the choice under way has looked at all endpoints. */
  private async askSoon (): Promise<void> {
    this.isAsking = true
    await Promise.resolve()
    const askedAt = this.options.now()
    const wishes = this.wishes(askedAt)
    if (wishes.length > 0) await this.askFor(wishes, askedAt)
    else this.nextAskAt = askedAt + NOTHING_SPACING_MS
    this.isAsking = false
    this.wakeLater()
  }

  /** Requests that wait look again, and so wish again, once they may ask: there may be no other arrival until then. */
  private wakeLater (): void {
    const { now, wake } = this.options
    clearTimeout(this.timer)
    if (this.wished.size === 0) return
    const nextFree = Math.min(...[...this.wished.values()].map(({ notBefore }) => notBefore))
    this.timer = setTimeout(wake, Math.max(NOTHING_SPACING_MS, this.nextAskAt - now(), nextFree - now())).unref()
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  private async askFor (wishes: GrantRequest[], askedAt: number): Promise<void> {
    const { requestGrants, wake, logger, now, entryCount } = this.options
    this.totals.requests += 1
    this.nextAskAt = askedAt + Math.max(SPACING_MS, grantRequestSpacingMs(entryCount()))
    try {
      for (const grant of await requestGrants(wishes)) this.note(grant, askedAt)
      wake()
    } catch (error) {
      this.totals.failed += 1
      this.nextAskAt = now() + FAILED_SPACING_MS
      logger.sampled('not-granted', { channel: 'endpoint', event: 'not-granted', endpoint: wishes[0]?.incarnation ?? '', why: messageOf(error) })
    }
  }

  /** The time of a grant and of a refusal runs from the ask: control can't know for how long the answer was under way. */
  private note ({ incarnation, requests, withinMs, perSecond }: Grant, askedAt: number): void {
    const now = this.options.now()
    const until = askedAt + withinMs
    // Control that does not know of limits grants without regard to them.
    const isUsable = requests > 0 && (perSecond !== undefined || this.options.advertisedLimitOf?.(incarnation) === undefined)
    if (isUsable) this.options.grantPool.add(incarnation, { requests, until }, now)
    const wished = this.wished.get(incarnation)
    if (wished !== undefined && !isUsable) wished.notBefore = until
  }

  /** What to ask for: as much as the requests of late need beyond what is at hand, at the endpoints that this box prefers. */
  private wishes (now: number): GrantRequest[] {
    const wishes: GrantRequest[] = []
    const missing = this.missing(now)
    for (const wished of this.askable(now)) {
      const requests = Math.min(MAX_WISH, missing.get(wished.service) ?? 0)
      if (requests <= 0) continue
      if (wishes.length === MAX_WISHES) break
      missing.set(wished.service, (missing.get(wished.service) ?? 0) - requests)
      const perSecond = this.options.advertisedLimitOf?.(wished.incarnation)
      wishes.push({ incarnation: wished.incarnation, service: wished.service, requests, ...(perSecond === undefined ? {} : { perSecond }) })
    }
    return wishes
  }

  /** How many grants each service lacks; none where half of what it needs is at hand. */
  private missing (now: number): Map<string, number> {
    const atHand = new Map<string, number>()
    for (const { service, incarnation } of this.wished.values()) {
      atHand.set(service, (atHand.get(service) ?? 0) + this.options.grantPool.countAvailable(incarnation, now))
    }
    return new Map([...atHand].map(([service, left]) => {
      const needed = this.recent(service, now).length + HEADROOM
      return [service, left <= ENOUGH_SHARE * needed ? needed - left : 0]
    }))
  }

  /** The endpoints that may be asked for now, those that this box prefers first. */
  private askable (now: number): Wished[] {
    for (const [incarnation, { wishedAt }] of this.wished) {
      if (now - wishedAt > USE_MS && this.options.grantPool.countAvailable(incarnation, now) === 0) this.wished.delete(incarnation)
    }
    return [...this.wished.values()]
      .filter(({ notBefore, incarnation }) => now >= notBefore && this.options.grantPool.countAvailable(incarnation, now) === 0)
      .sort((left, right) => left.rank - right.rank)
  }

  private recent (service: string, now: number): number[] {
    return (this.arrivals.get(service) ?? []).filter((at) => now - at <= USE_MS)
  }
}
