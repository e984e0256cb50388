/**
 * The leases that one process knows. Control processes take them from heartbeats
 * and from each other, entries from control. Merging is commutative: the state of
 * an incarnation never goes back, and the higher sequence holds. Of an endpoint that
 * starts again under its name the life born last holds, by the endpoint's own word,
 * and nothing is kept of the others. That a lease ran out is never told to others.
 */
import { type Logger } from '@gullwall/core.logger'
import { selectLatestLimit, type AdvertisedLimit } from '@gullwall/routing.rates'
import { type Lease, type Life } from '@gullwall/transport.messages'
import { Leavers, STATE_ORDER, TOMBSTONE_MS } from './leavers.ts'
import { limitFromWire, limitToWire } from './limit-words.ts'

/** A lease that was not refreshed for so long has run out, in ms. */
const DEFAULT_LEASE_MS = 12_000
const SWEEP_MS = 1000
/** Lives that have been followed by another are remembered for those whose requests they had: as many as start within some minutes. */
const MAX_OUTLIVED = 256
/** An endpoint that is cold for so much longer than was told before has turned cold again, in ms: more than clocks and rounding do. */
const TURNED_COLD_MS = 500

/** One lease as it is held here. */
export interface KnownLease extends Omit<Lease, 'ageMs' | 'limit'> {
  /** When the latest heartbeat arrived anywhere, by this process's monotonic clock. */
  receivedAt: number
  /** What it said last of its limit; none where it has named none. */
  limit?: AdvertisedLimit | undefined
}

/** A leave that is known from elsewhere than a heartbeat. */
export interface RecordedLeave {
  incarnation: string
  state: 'draining' | 'gone'
  hasLife: boolean
  /** How long ago it was announced, in ms. */
  sinceMs: number
}

interface HeldLife {
  incarnation: string
  born: number
}

export interface LeaseTableOptions {
  logger: Logger
  leaseMs?: number
  now?: () => number
  /** Told of leases that are new or have changed state; a mere refresh is not told. */
  onChange?: (changed: KnownLease[]) => void
  /** Told at once of each endpoint that has named another limit, or names none any more. */
  onLimit?: (lease: KnownLease) => void
  /** Told at once of each incarnation for which `isUsable` may have changed. */
  onTouched?: (incarnation: string) => void
}

/** What became of a lease that was told: something others must hear at once, a refresh, or nothing new. */
export type Merged = 'changed' | 'refreshed' | 'stale'

export class LeaseTable {
  private readonly held = new Map<string, KnownLease>()
  /** The incarnation that was last heard at each address. */
  private readonly holders = new Map<string, string>()
  /** The life born last of each endpoint that may start again under its name. */
  private readonly lives = new Map<string, HeldLife>()
  /** What lives had last said of themselves when a later one was heard; the oldest gives way. */
  private readonly outlived = new Map<string, Lease['state']>()
  private readonly leavers = new Leavers()
  /** Leases from before a restart that no heartbeat has confirmed yet. */
  private readonly unconfirmed = new Set<string>()
  private readonly now: () => number
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: LeaseTableOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  start (): void {
    this.timer = setInterval(() => this.sweep(), SWEEP_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  get (incarnation: string): KnownLease | undefined {
    return this.held.get(incarnation)
  }

  /**
   * Whether an endpoint takes new work: it is ready, and no other incarnation was heard at its address since. An endpoint
   * that crashes says nothing; its successor at the same address shows that it has ended.
   */
  isUsable (incarnation: string): boolean {
    const lease = this.held.get(incarnation)
    return lease?.state === 'ready' && this.holders.get(lease.address) === incarnation
  }

  /** The incarnation that was last heard at an address, and said that it is ready. */
  holderOf (address: string): string | undefined {
    return this.holders.get(address)
  }

  /**
   * Notes that an endpoint has said by another way than a heartbeat that it drains. It holds for the rest of its life,
   * whatever heartbeats that were on their way still say. Gives whether that is news.
   */
  recordDraining (incarnation: string): boolean {
    return this.recordLeave({ incarnation, state: 'draining', hasLife: false, sinceMs: 0 })
  }

  /** Notes the same of an endpoint that drains or is gone, announced `sinceMs` ago. Gives whether that is news of a lease that is held. */
  recordLeave ({ incarnation, state, hasLife, sinceMs }: RecordedLeave): boolean {
    const held = this.held.get(incarnation)
    if (held === undefined) {
      this.leavers.remember(incarnation, { state, hasLife, since: this.now() - sinceMs })
      return false
    }
    const [lease] = this.toWire([held])
    return lease !== undefined && STATE_ORDER[held.state] < STATE_ORDER[state] && this.merge([{ ...lease, state }])[0] === 'changed'
  }

  /** Forgets what was restored and no heartbeat has confirmed since. */
  dropUnconfirmed (): void {
    for (const incarnation of this.unconfirmed) {
      const lease = this.held.get(incarnation)
      if (lease === undefined) continue
      this.forget(incarnation, lease)
      this.options.onTouched?.(incarnation)
    }
    this.unconfirmed.clear()
  }

  /** Notes what an endpoint said of its limit, and gives whether that is news. It ends with the life that said it. */
  recordLimit (incarnation: string, word: AdvertisedLimit): boolean {
    const lease = this.held.get(incarnation)
    if (lease === undefined || (word.perSecond === undefined && lease.limit === undefined)) return false
    const before = lease.limit?.perSecond
    lease.limit = selectLatestLimit(lease.limit, word)
    const after = lease.limit?.perSecond
    if (before === after) return false
    const why = after === undefined ? 'it names no limit any more' : `it takes ${after} requests a second from all boxes, ${before ?? 'any number'} before`
    this.options.logger.info({ channel: 'endpoint', event: after === undefined ? 'unlimited' : 'limited', endpoint: incarnation, why })
    this.options.onLimit?.(lease)
    return true
  }

  /** What an incarnation last said of itself, also one that has started again since; undefined if it is not known. */
  stateOf (incarnation: string): Lease['state'] | undefined {
    return this.held.get(incarnation)?.state ?? this.outlived.get(incarnation)
  }

  /** Whether another incarnation has been heard in its place since, though it said nothing of leaving. */
  isReplaced (incarnation: string): boolean {
    const lease = this.held.get(incarnation)
    if (lease === undefined) return this.outlived.get(incarnation) === 'ready'
    if (lease.state !== 'ready') return false
    const holder = this.holders.get(lease.address)
    return holder !== undefined && holder !== incarnation
  }

  /**
   * For how long an endpoint has been silent while others were heard, in ms; 0 where it has no lease. A process that hears of
   * none, since it is cut off, finds none of them silent.
   */
  silentMs (incarnation: string): number {
    const lease = this.held.get(incarnation)
    return lease === undefined ? 0 : this.newestWord() - lease.receivedAt
  }

  /** Every lease, those that are gone included. */
  all (): KnownLease[] {
    return [...this.held.values()]
  }

  /** Takes leases from a heartbeat or a peer. */
  merge (leases: readonly Lease[]): Merged[] {
    const changed: KnownLease[] = []
    const outcomes = leases.map((given) => {
      const lease = this.ofLatestLife(given)
      const addressBefore = this.held.get(lease.incarnation)?.address
      const merged = this.mergeOne(lease)
      const isLimitNews = lease.limit !== undefined && this.recordLimit(lease.incarnation, limitFromWire(lease.limit, this.now()))
      const outcome = isLimitNews ? 'changed' : merged
      const held = this.held.get(lease.incarnation)
      if (held !== undefined && outcome !== 'stale') {
        const isHolderNew = this.noteHolder(held)
        if (outcome === 'changed' || isHolderNew || held.address !== addressBefore) this.options.onTouched?.(lease.incarnation)
      }
      if (outcome === 'changed' && held !== undefined) changed.push(held)
      return outcome
    })
    if (changed.length > 0) this.options.onChange?.(changed)
    return outcomes
  }

  /**
   * Takes leases that were kept over a restart. Each runs out after `validMs` unless it is refreshed, by the rule for all:
   * only while other endpoints are heard. The first refresh counts as a change, so that it is told before that.
   */
  restore (leases: readonly Lease[], validMs: number): void {
    const ageMs = (this.options.leaseMs ?? DEFAULT_LEASE_MS) - validMs
    // How long this process was down is not known: an endpoint that was cold is taken to be so for as long as it said.
    const coldFor = (coldMs: number | undefined) => coldMs === undefined ? {} : { coldMs: coldMs === 0 ? 0 : coldMs + ageMs }
    this.merge(leases.map((lease) => ({ ...lease, ...coldFor(lease.coldMs), ageMs })))
    for (const { incarnation } of leases) this.unconfirmed.add(incarnation)
  }

  /** The incarnation that an endpoint has now, by its name; its name where it tells no lives. */
  incarnationOf (name: string): string {
    return this.lives.get(name)?.incarnation ?? name
  }

  /** Leases for the wire, with their age instead of a local time. */
  toWire (leases: readonly KnownLease[] = this.all()): Lease[] {
    const now = this.now()
    return leases.map(({ receivedAt, limit, ...lease }) => ({
      ...lease, ...(limit === undefined ? {} : { limit: limitToWire(limit, now) }), ageMs: Math.max(0, Math.round(now - receivedAt))
    }))
  }

  /**
   * Forgets leases that have run out, here only: another process may have heard later heartbeats. Time counts from the
   * latest heartbeat of any endpoint, so that nothing runs out while this process is cut off from all of them.
   */
  sweep (): void {
    const now = this.now()
    const leaseMs = this.options.leaseMs ?? DEFAULT_LEASE_MS
    const newest = this.newestWord()
    for (const [incarnation, lease] of this.held) {
      if (now - lease.receivedAt > TOMBSTONE_MS && lease.state === 'gone') this.forget(incarnation, lease)
      const silentMs = newest - lease.receivedAt
      if (lease.state === 'gone' || silentMs <= leaseMs) continue
      this.forget(incarnation, lease)
      this.options.onTouched?.(incarnation)
      this.log({ ...lease, state: 'gone' }, `no heartbeat for ${Math.round(silentMs)} ms while others were heard`)
    }
  }

  /** When any endpoint was last heard, by this process's monotonic clock. */
  private newestWord (): number {
    let newest = -Infinity
    for (const { receivedAt } of this.held.values()) newest = Math.max(newest, receivedAt)
    return newest
  }

  private forget (incarnation: string, { address, life }: Pick<Lease, 'address' | 'life'>): void {
    this.held.delete(incarnation)
    this.unconfirmed.delete(incarnation)
    if (this.holders.get(address) === incarnation) this.holders.delete(address)
    // A clock that stepped back between two lives makes the later one seem older; once the other has run out it counts.
    if (life !== undefined && this.lives.get(life.name)?.incarnation === incarnation) this.lives.delete(life.name)
  }

  /** Whether a life is the latest one of its endpoint; ends the one that was. */
  private isLatest (incarnation: string, { name, born }: Life): boolean {
    const known = this.lives.get(name)
    if (known !== undefined && known.born > born) return false
    this.lives.set(name, { incarnation, born })
    const earlier = known === undefined || known.incarnation === incarnation ? undefined : this.held.get(known.incarnation)
    if (earlier === undefined) return true
    this.held.delete(earlier.incarnation)
    this.unconfirmed.delete(earlier.incarnation)
    this.outlived.set(earlier.incarnation, earlier.state)
    const [oldest] = this.outlived.keys()
    if (this.outlived.size > MAX_OUTLIVED && oldest !== undefined) this.outlived.delete(oldest)
    this.options.onTouched?.(earlier.incarnation)
    this.log({ ...earlier, state: 'gone' }, `it has started again, as ${incarnation}`)
    return true
  }

  /** A word without a life about an endpoint that tells its lives can only mean the latest. */
  private ofLatestLife (lease: Lease): Lease {
    if (lease.life !== undefined) return lease
    const incarnation = this.incarnationOf(lease.incarnation)
    return incarnation === lease.incarnation ? lease : { ...lease, incarnation, life: this.held.get(incarnation)?.life }
  }

  private mergeOne (given: Lease): Merged {
    const known = this.held.get(given.incarnation)
    const lease = known === undefined ? this.leavers.asRemembered(given, this.now()) : given
    const { ageMs, limit: _limit, ...rest } = lease
    const heardAt = this.now() - ageMs
    const isTooOld = known === undefined && ageMs > (this.options.leaseMs ?? DEFAULT_LEASE_MS) && lease.state !== 'gone'
    if (isTooOld || (lease.life !== undefined && !this.isLatest(lease.incarnation, lease.life))) return 'stale'
    if (lease.state !== 'ready') {
      this.leavers.remember(lease.incarnation, { state: lease.state, hasLife: lease.life !== undefined, since: this.now() })
    }
    if (known === undefined) {
      this.held.set(lease.incarnation, { ...rest, receivedAt: heardAt })
      this.log(lease, `build ${lease.build ?? 'unknown'}, sequence ${lease.sequence}, heard ${Math.round(ageMs)} ms ago`)
      return 'changed'
    }
    const goesOn = STATE_ORDER[lease.state] > STATE_ORDER[known.state]
    const isNewer = lease.sequence > known.sequence
    const isBuildNews = lease.build !== undefined && lease.build !== known.build && (isNewer || known.build === undefined)
    if (isBuildNews) known.build = lease.build
    if (!isNewer && !goesOn) return isBuildNews ? 'changed' : 'stale'
    const state = goesOn ? lease.state : known.state
    const hasTurnedCold = isNewer && coldUntil({ ...rest, receivedAt: heardAt }) - Math.max(heardAt, coldUntil(known)) > TURNED_COLD_MS
    this.held.set(lease.incarnation, {
      ...(isNewer ? rest : known),
      // A process that does not know of builds passes a lease on without it.
      build: known.build,
      limit: known.limit,
      state,
      sequence: Math.max(lease.sequence, known.sequence),
      receivedAt: Math.max(heardAt, known.receivedAt)
    })
    const isFirstWord = this.unconfirmed.delete(lease.incarnation)
    // Refreshes are told together some seconds later; until then others would send as to a warm one.
    if (!goesOn) return isFirstWord || hasTurnedCold || isBuildNews ? 'changed' : 'refreshed'
    this.log({ ...lease, state }, `sequence ${lease.sequence}, was ${known.state}`)
    return 'changed'
  }

  /**
   * Gives whether the address has another holder now. Later words win, so that a heartbeat that arrives late is put right by
   * the next one of the successor.
   */
  private noteHolder ({ incarnation, address, state, receivedAt }: KnownLease): boolean {
    const before = this.holders.get(address)
    const holder = this.held.get(before ?? '')
    if (state !== 'ready' || (holder !== undefined && holder.receivedAt > receivedAt)) return false
    this.holders.set(address, incarnation)
    if (before === incarnation) return false
    if (before !== undefined) this.options.onTouched?.(before)
    return true
  }

  private log (lease: Pick<Lease, 'incarnation' | 'state' | 'address' | 'service'>, why: string): void {
    const event = lease.state === 'ready' ? 'up' : lease.state === 'draining' ? 'leaving' : 'down'
    this.options.logger.info({
      channel: 'endpoint', event, endpoint: lease.incarnation, why: `${lease.service} at ${lease.address}: ${why}`
    })
  }
}

/** Until when an endpoint is cold by its own word, by the monotonic clock; -Infinity where it does not say. */
function coldUntil ({ coldMs, receivedAt }: KnownLease): number {
  return coldMs === undefined ? -Infinity : receivedAt + coldMs
}
