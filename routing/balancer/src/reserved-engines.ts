/**
 * Engines that are kept free of long reads. While an engine reads prompts, each token of its streams takes as long as one
 * step of reading, so that streams which bear short pauses only are late wherever much is read, and hold their slots several
 * times as long. They fit on few engines of their own. How many follows from how many such streams run; which ones follows
 * from the names of the engines, so that entries agree without talking to each other.
 */
import { SCORE_ALL_LIMIT } from './candidate-set.ts'
import { type EndpointPool } from './endpoint-pool.ts'
import { type EndpointState } from './endpoint-state.ts'
import { pauseSensitivityOf } from './pause-sensitivity.ts'

/** Streams that suffer this much from reading are sensitive: the pauses of engines that read come near to two thirds of what they bear. */
const SENSITIVE_STRAIN = 0.25
/** Requests that usually bring more tokens of their own than this are long reads themselves: more than one step of an engine. */
const SHORT_READ_TOKENS = 2048
/** What one request counts for in what its route usually brings. */
const OWN_TOKENS_WEIGHT = 0.05
/** The share of the slots of reserved engines that sensitive streams are to take; the rest is for bursts. */
const FILL = 0.5
/** No more than this share of the engines is reserved. */
const MAX_SHARE = 0.5
/** A region reserves another engine from this share of one on. */
const ROUNDED = 0.5
/** With fewer engines none is reserved. */
const MIN_ENGINES = 3
/** How fast the number of reserved engines falls once fewer sensitive streams run, as a share of the difference at each update. */
const FALL_WEIGHT = 0.02

const NONE: ReadonlySet<EndpointState> = new Set()

/** What must be known of a request's route. */
export interface StreamKind {
  route: string
  /** The longest pause between events that it bears, in ms; none where the route sets none. */
  maxPauseMs: number | undefined
}

/** What the number of reserved engines follows from. */
interface Engines {
  size: number
  meanSlots: number
  /** Sensitive streams under way at all of them. */
  sensitive: number
}

/** Where engines may be reserved. */
export interface ReservationOptions {
  /** Whether a data centre may have work. */
  isDataCentreAllowed?: (dataCentre: string) => boolean
  /** The region of a data centre; each region reserves engines for its own streams, which stay there. */
  regionOf?: (dataCentre: string) => string
}

type LargeReservation = Required<ReservationOptions> & { count: number }

/** What was reserved of a large fleet, and for what. */
interface KnownReservation {
  version: number
  count: number
  places: string
  engines: ReadonlySet<EndpointState>
}

/** What a document has, by name. */
export interface DocumentNames {
  routes: ReadonlySet<string>
  services: ReadonlySet<string>
}

export class ReservedEngines {
  /** The prompt tokens that requests of a route usually bring besides the shared parts. */
  private readonly ownTokens = new Map<string, number>()
  private readonly byService = new Map<string, ReadonlySet<EndpointState>>()
  /** Sensitive streams under way by region and service; follows rises at once and falls slowly. */
  private readonly sensitive = new Map<string, number>()
  /** What was reserved of large fleets, for as long as nothing changes. */
  private readonly firsts = new Map<string, KnownReservation>()
  /** The usual pause of streams while engines read, in ms. */
  private readonly pauses = new Map<string, number>()

  /** Notes a request of a route. */
  recordRequest ({ route }: Pick<StreamKind, 'route'>, ownTokens: number): void {
    const known = this.ownTokens.get(route) ?? ownTokens
    this.ownTokens.set(route, known + OWN_TOKENS_WEIGHT * (ownTokens - known))
  }

  /** Of how many routes something is kept. */
  get routeCount (): number {
    return this.ownTokens.size
  }

  /** Forgets the routes and services that a document no longer has, so that what is kept is bounded by the document in force. */
  keepOnly (names: DocumentNames): void {
    for (const route of this.ownTokens.keys()) {
      if (!names.routes.has(route)) this.ownTokens.delete(route)
    }
    for (const known of [this.byService, this.firsts, this.pauses]) {
      for (const service of known.keys()) {
        if (!names.services.has(service)) known.delete(service)
      }
    }
    for (const key of this.sensitive.keys()) {
      if (!names.services.has(key.slice(key.indexOf('/') + 1))) this.sensitive.delete(key)
    }
  }

  /** Whether requests of a route are sensitive to reading and read little themselves. */
  isPauseSensitive ({ route, maxPauseMs }: StreamKind, service: string): boolean {
    const readingPauseMs = this.pauses.get(service)
    if (maxPauseMs === undefined || readingPauseMs === undefined) return false
    return pauseSensitivityOf(maxPauseMs, readingPauseMs) > SENSITIVE_STRAIN && (this.ownTokens.get(route) ?? Infinity) <= SHORT_READ_TOKENS
  }

  /** The engines of a service that are reserved for sensitive streams now. */
  get (service: string): ReadonlySet<EndpointState> {
    return this.byService.get(service) ?? NONE
  }

  /**
   * Reserves as many engines of a service as its sensitive streams need now; called at even intervals.
   * @param regionOf the region of a data centre; each region reserves engines for its own streams, which stay there
   */
  update (service: string, engines: readonly EndpointState[], regionOf: (dataCentre: string) => string = () => ''): void {
    const groups = new Map<string, EndpointState[]>()
    for (const engine of engines) {
      const region = regionOf(engine.description.dataCentre)
      groups.set(region, [...groups.get(region) ?? [], engine])
    }
    const reserved = [...groups].map(([region, group]) => this.reservedAmong(group, `${region}/${service}`))
    if (reserved.every((among) => among === undefined)) {
      this.byService.delete(service)
      return
    }
    this.pauses.set(service, mean(engines.map(({ prefill }) => prefill.pauseMs)))
    this.byService.set(service, new Set(reserved.flatMap((among) => among ?? [])))
  }

  /**
   * The same for the engines of a service in the data centres that may have work. A large fleet is not gone through: sums are
   * kept, each region reserves in proportion to its engines, and the set is made anew only where it changes.
   */
  updateFromPool (service: string, pool: EndpointPool, { isDataCentreAllowed = () => true, regionOf = () => '' }: ReservationOptions = {}): void {
    if (pool.size <= SCORE_ALL_LIMIT) {
      this.update(service, pool.members.items.filter(({ description }) => isDataCentreAllowed(description.dataCentre)), regionOf)
      return
    }
    const { size, totals: { meanSlots, meanPauseMs, pauseSensitiveStreams } } = pool
    const count = this.countFor(`/${service}`, { size, meanSlots, sensitive: pauseSensitiveStreams })
    if (count === undefined) {
      this.byService.delete(service)
      return
    }
    this.pauses.set(service, meanPauseMs)
    this.byService.set(service, this.firstOf(service, pool, { count, isDataCentreAllowed, regionOf }))
  }

  private firstOf (
    service: string, pool: EndpointPool, { count, isDataCentreAllowed, regionOf }: LargeReservation
  ): ReadonlySet<EndpointState> {
    const places = [...pool.dataCentrePools].map(({ dataCentre }) => dataCentre).filter(isDataCentreAllowed).join(' ')
    const known = this.firsts.get(service)
    if (known?.version === pool.version && known.count === count && known.places === places) return known.engines
    const left = new Map<string, number>()
    for (const { dataCentre, members } of pool.dataCentrePools) {
      const region = regionOf(dataCentre)
      left.set(region, (left.get(region) ?? 0) + count * members.items.length / pool.size)
    }
    const engines = new Set<EndpointState>()
    for (const engine of pool.byReservationRank.items) {
      const region = regionOf(engine.description.dataCentre)
      const quota = left.get(region) ?? 0
      if (quota < ROUNDED || !isDataCentreAllowed(engine.description.dataCentre)) continue
      left.set(region, quota - 1)
      engines.add(engine)
    }
    this.firsts.set(service, { version: pool.version, count, places, engines })
    return engines
  }

  /** The engines of one region to reserve; undefined where it has too few. */
  private reservedAmong (engines: readonly EndpointState[], key: string): EndpointState[] | undefined {
    const count = this.countFor(key, {
      size: engines.length,
      meanSlots: mean(engines.map(({ description }) => description.slots)),
      sensitive: engines.reduce((sum, engine) => sum + engine.pauseSensitiveStreams, 0)
    })
    return count === undefined ? undefined : byRank(engines).slice(0, count)
  }

  /** How many engines to reserve for what runs now; undefined where there are too few, or nobody says how much they take. */
  private countFor (key: string, { size, meanSlots, sensitive }: Engines): number | undefined {
    if (size < MIN_ENGINES || meanSlots <= 0) return undefined
    const known = this.sensitive.get(key) ?? 0
    const smoothed = sensitive > known ? sensitive : known + FALL_WEIGHT * (sensitive - known)
    this.sensitive.set(key, smoothed)
    return Math.min(Math.floor(MAX_SHARE * size), Math.ceil(Math.floor(smoothed) / (FILL * meanSlots)))
  }
}

function byRank (engines: readonly EndpointState[]): EndpointState[] {
  return [...engines].sort((left, right) => left.reservationRank - right.reservationRank)
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
