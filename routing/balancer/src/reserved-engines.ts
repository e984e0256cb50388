/**
 * Engines that are reserved for pause-sensitive streams. During prefill, each token of a stream takes as long as one prefill step.
 * Streams with a short limit for pauses are then late, and occupy their slots several times as long. A few engines with little
 * prefill can serve all of them. The number of reserved engines follows from the number of such streams, and the selection from the
 * names of the engines, so that entries agree without exchanging messages.
 */
import { SCORE_ALL_LIMIT } from './candidate-set.ts'
import { type EndpointPool } from './endpoint-pool.ts'
import { type EndpointState } from './endpoint-state.ts'
import { pauseSensitivityOf } from './pause-sensitivity.ts'

/** Streams above this pause sensitivity get reserved engines: the pauses during prefill exceed about two thirds of their limit. */
const MIN_RESERVED_SENSITIVITY = 0.25
/** Routes whose requests usually have more unshared tokens cause long prefill themselves: more than one engine step. */
const SHORT_PREFILL_TOKENS = 2048
/** The weight of one request in the moving average of its route's unshared tokens. */
const OWN_TOKENS_WEIGHT = 0.05
/** The share of the slots of reserved engines that pause-sensitive streams should take; the rest is for bursts. */
const TARGET_FILL = 0.5
/** The largest share of the engines that is reserved. */
const MAX_SHARE = 0.5
/** A region reserves another engine if its remaining quota is at least this fraction of one. */
const MIN_QUOTA = 0.5
/** With fewer engines, none is reserved. */
const MIN_ENGINES = 3
/** The share of the difference by which the number of streams falls at each update once fewer of them run. */
const DECREASE_WEIGHT = 0.02

const NO_ENGINES: ReadonlySet<EndpointState> = new Set()

/** The properties of a route that decide whether its requests are pause-sensitive. */
export interface StreamKind {
  route: string
  /** The longest acceptable pause between events, in ms; undefined if the route sets no limit. */
  maxPauseMs: number | undefined
}

/** The values that the number of reserved engines is computed from. */
interface Engines {
  size: number
  meanSlots: number
  /** The number of pause-sensitive streams at all of them. */
  pauseSensitiveStreams: number
}

/** Where engines may be reserved. */
export interface ReservationOptions {
  /** Whether requests may be sent to a data centre. */
  isDataCentreAllowed?: (dataCentre: string) => boolean
  /** Returns the region of a data centre. Each region reserves engines for its own streams. */
  regionOf?: (dataCentre: string) => string
}

type FleetReservation = Required<ReservationOptions> & { count: number }

/** The reserved engines of a large fleet, with the values that they were computed from. */
interface CachedReservation {
  version: number
  count: number
  dataCentres: string
  engines: ReadonlySet<EndpointState>
}

/** The names of the routes and services in a document. */
export interface DocumentNames {
  routes: ReadonlySet<string>
  services: ReadonlySet<string>
}

export class ReservedEngines {
  /** The moving average of the unshared prompt tokens of a route's requests. */
  private readonly ownTokens = new Map<string, number>()
  private readonly byService = new Map<string, ReadonlySet<EndpointState>>()
  /** The number of pause-sensitive streams by region and service; it follows rises at once and falls slowly. */
  private readonly streamCounts = new Map<string, number>()
  /** The reserved engines of large fleets, cached until a value that they depend on changes. */
  private readonly cachedReservations = new Map<string, CachedReservation>()
  /** The mean pause of streams during prefill by service, in ms. */
  private readonly pauses = new Map<string, number>()

  /** Records a request of a route. */
  recordRequest ({ route }: Pick<StreamKind, 'route'>, ownTokens: number): void {
    const known = this.ownTokens.get(route) ?? ownTokens
    this.ownTokens.set(route, known + OWN_TOKENS_WEIGHT * (ownTokens - known))
  }

  /** The number of routes with a recorded average. */
  get routeCount (): number {
    return this.ownTokens.size
  }

  /** Removes the routes and services that a document no longer has, so that the document in force bounds the memory use. */
  keepOnly (names: DocumentNames): void {
    for (const route of this.ownTokens.keys()) {
      if (!names.routes.has(route)) this.ownTokens.delete(route)
    }
    for (const known of [this.byService, this.cachedReservations, this.pauses]) {
      for (const service of known.keys()) {
        if (!names.services.has(service)) known.delete(service)
      }
    }
    for (const key of this.streamCounts.keys()) {
      if (!names.services.has(key.slice(key.indexOf('/') + 1))) this.streamCounts.delete(key)
    }
  }

  /** Whether requests of a route are delayed by prefill on the same engine, and need little prefill themselves. */
  isPauseSensitive ({ route, maxPauseMs }: StreamKind, service: string): boolean {
    const prefillPauseMs = this.pauses.get(service)
    if (maxPauseMs === undefined || prefillPauseMs === undefined) return false
    return pauseSensitivityOf(maxPauseMs, prefillPauseMs) > MIN_RESERVED_SENSITIVITY &&
      (this.ownTokens.get(route) ?? Infinity) <= SHORT_PREFILL_TOKENS
  }

  /** Returns the engines of a service that are reserved for pause-sensitive streams now. */
  get (service: string): ReadonlySet<EndpointState> {
    return this.byService.get(service) ?? NO_ENGINES
  }

  /**
   * Reserves as many engines of a service as its pause-sensitive streams need now; called at regular intervals.
   * @param regionOf function that returns the region of a data centre; each region reserves engines for its own streams
   */
  update (service: string, engines: readonly EndpointState[], regionOf: (dataCentre: string) => string = () => ''): void {
    const groups = new Map<string, EndpointState[]>()
    for (const engine of engines) {
      const region = regionOf(engine.description.dataCentre)
      groups.set(region, [...groups.get(region) ?? [], engine])
    }
    const reserved = [...groups].map(([region, group]) => this.reservedAmong(group, `${region}/${service}`))
    if (reserved.every((selected) => selected === undefined)) {
      this.byService.delete(service)
      return
    }
    this.pauses.set(service, mean(engines.map(({ prefill }) => prefill.pauseMs)))
    this.byService.set(service, new Set(reserved.flatMap((selected) => selected ?? [])))
  }

  /**
   * Does the same for the engines of a service in the data centres that requests may be sent to. For a large fleet it uses sums
   * instead of visiting every engine, each region reserves in proportion to its engines, and the set is computed again only if it
   * changes.
   */
  updateFromPool (
    service: string, pool: EndpointPool, { isDataCentreAllowed = () => true, regionOf = () => '' }: ReservationOptions = {}
  ): void {
    if (pool.size <= SCORE_ALL_LIMIT) {
      this.update(service, pool.members.items.filter(({ description }) => isDataCentreAllowed(description.dataCentre)), regionOf)
      return
    }
    const { size, totals: { meanSlots, meanPauseMs, pauseSensitiveStreams } } = pool
    const count = this.countFor(`/${service}`, { size, meanSlots, pauseSensitiveStreams })
    if (count === undefined) {
      this.byService.delete(service)
      return
    }
    this.pauses.set(service, meanPauseMs)
    this.byService.set(service, this.reservedInPool(service, pool, { count, isDataCentreAllowed, regionOf }))
  }

  private reservedInPool (
    service: string, pool: EndpointPool, { count, isDataCentreAllowed, regionOf }: FleetReservation
  ): ReadonlySet<EndpointState> {
    const dataCentres = [...pool.dataCentrePools].map(({ dataCentre }) => dataCentre).filter(isDataCentreAllowed).join(' ')
    const known = this.cachedReservations.get(service)
    if (known?.version === pool.version && known.count === count && known.dataCentres === dataCentres) return known.engines
    const quotas = new Map<string, number>()
    for (const { dataCentre, members } of pool.dataCentrePools) {
      const region = regionOf(dataCentre)
      quotas.set(region, (quotas.get(region) ?? 0) + count * members.items.length / pool.size)
    }
    const engines = new Set<EndpointState>()
    for (const engine of pool.byReservationRank.items) {
      const region = regionOf(engine.description.dataCentre)
      const quota = quotas.get(region) ?? 0
      if (quota < MIN_QUOTA || !isDataCentreAllowed(engine.description.dataCentre)) continue
      quotas.set(region, quota - 1)
      engines.add(engine)
    }
    this.cachedReservations.set(service, { version: pool.version, count, dataCentres, engines })
    return engines
  }

  /** Returns the engines of one region to reserve; undefined if the region has too few. */
  private reservedAmong (engines: readonly EndpointState[], key: string): EndpointState[] | undefined {
    const count = this.countFor(key, {
      size: engines.length,
      meanSlots: mean(engines.map(({ description }) => description.slots)),
      pauseSensitiveStreams: engines.reduce((sum, engine) => sum + engine.pauseSensitiveStreams, 0)
    })
    return count === undefined ? undefined : sortByReservationRank(engines).slice(0, count)
  }

  /** Returns the number of engines to reserve; undefined if there are too few, or none reports its slots. */
  private countFor (key: string, { size, meanSlots, pauseSensitiveStreams }: Engines): number | undefined {
    if (size < MIN_ENGINES || meanSlots <= 0) return undefined
    const known = this.streamCounts.get(key) ?? 0
    const smoothed = pauseSensitiveStreams > known ? pauseSensitiveStreams : known + DECREASE_WEIGHT * (pauseSensitiveStreams - known)
    this.streamCounts.set(key, smoothed)
    return Math.min(Math.floor(MAX_SHARE * size), Math.ceil(Math.floor(smoothed) / (TARGET_FILL * meanSlots)))
  }
}

function sortByReservationRank (engines: readonly EndpointState[]): EndpointState[] {
  return [...engines].sort((left, right) => left.reservationRank - right.reservationRank)
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
