/**
 * Engines that are kept free of long reads. While an engine reads prompts, each token of its streams takes as long as one
 * step of reading, so that streams which bear short pauses only are late wherever much is read, and hold their slots several
 * times as long. They fit on few engines of their own. How many follows from how many such streams run; which ones follows
 * from the names of the engines, so that entries agree without talking to each other.
 */
import { type EndpointState } from './endpoint-state.ts'
import { strainOf } from './strain.ts'

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
/** With fewer engines none is reserved. */
const MIN_ENGINES = 3
/** How fast the number of reserved engines falls once fewer sensitive streams run, as a share of the difference at each update. */
const FALL_WEIGHT = 0.02

const NONE: ReadonlySet<EndpointState> = new Set()

/** What must be known of a request's route. */
export interface StreamKind {
  route: string
  /** The longest pause between events that it bears, in ms; none where the route sets none. */
  pauseMs: number | undefined
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
  /** Sensitive streams under way by service; follows rises at once and falls slowly. */
  private readonly sensitive = new Map<string, number>()
  /** The usual pause of streams while engines read, in ms. */
  private readonly pauses = new Map<string, number>()

  /** Notes a request of a route. */
  noteRequest ({ route }: Pick<StreamKind, 'route'>, ownTokens: number): void {
    const known = this.ownTokens.get(route) ?? ownTokens
    this.ownTokens.set(route, known + OWN_TOKENS_WEIGHT * (ownTokens - known))
  }

  /** Of how many routes something is kept. */
  get knownRoutes (): number {
    return this.ownTokens.size
  }

  /** Forgets the routes and services that a document no longer has, so that what is kept is bounded by the document in force. */
  keepOnly (names: DocumentNames): void {
    for (const route of this.ownTokens.keys()) {
      if (!names.routes.has(route)) this.ownTokens.delete(route)
    }
    for (const known of [this.byService, this.sensitive, this.pauses]) {
      for (const service of known.keys()) {
        if (!names.services.has(service)) known.delete(service)
      }
    }
  }

  /** Whether requests of a route are sensitive to reading and read little themselves. */
  isSensitive ({ route, pauseMs }: StreamKind, service: string): boolean {
    const readingPauseMs = this.pauses.get(service)
    if (pauseMs === undefined || readingPauseMs === undefined) return false
    return strainOf(pauseMs, readingPauseMs) > SENSITIVE_STRAIN && (this.ownTokens.get(route) ?? Infinity) <= SHORT_READ_TOKENS
  }

  /** The engines of a service that are reserved for sensitive streams now. */
  of (service: string): ReadonlySet<EndpointState> {
    return this.byService.get(service) ?? NONE
  }

  /** Reserves as many engines of a service as its sensitive streams need now; called at even intervals. */
  update (service: string, engines: readonly EndpointState[]): void {
    const slots = mean(engines.map(({ description }) => description.slots))
    if (engines.length < MIN_ENGINES || slots <= 0) {
      this.byService.delete(service)
      return
    }
    this.pauses.set(service, mean(engines.map(({ reading }) => reading.pauseMs)))
    const underWay = engines.reduce((sum, engine) => sum + engine.sensitive, 0)
    const known = this.sensitive.get(service) ?? 0
    const smoothed = underWay > known ? underWay : known + FALL_WEIGHT * (underWay - known)
    this.sensitive.set(service, smoothed)
    const count = Math.min(Math.floor(MAX_SHARE * engines.length), Math.ceil(Math.floor(smoothed) / (FILL * slots)))
    this.byService.set(service, new Set(byRank(engines).slice(0, count)))
  }
}

function byRank (engines: readonly EndpointState[]): EndpointState[] {
  return [...engines].sort((left, right) => left.reservationRank - right.reservationRank)
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
