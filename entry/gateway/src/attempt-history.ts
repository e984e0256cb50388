/** What became of the attempts of one request so far, and whether another one is allowed. */
import { type Call } from './call.ts'

/** So many attempts that did not run are made; they do not count as sent. */
const MAX_NOT_RUN = 5
/** How often a repeatable request runs again at endpoints that have had it. */
const MAX_RERUNS = 1
const NONE: ReadonlySet<string> = new Set()

export class AttemptHistory {
  /** Attempts that may have run. */
  sends = 0
  /** Attempts that certainly did not run. */
  notRun = 0
  private readonly tried = new Set<string>()
  private readonly ranAt = new Set<string>()

  constructor (private readonly call: Call) {}

  /** The number of the attempt that is next or under way, from 1. */
  get attempt (): number {
    return this.sends + 1
  }

  get isFirst (): boolean {
    return this.sends + this.notRun === 0
  }

  get mayHaveRun (): boolean {
    return this.sends > 0
  }

  noteNotRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.notRun += 1
  }

  noteRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.ranAt.add(incarnation)
    this.sends += 1
  }

  get mayBeTriedElsewhere (): boolean {
    return this.notRun < MAX_NOT_RUN
  }

  /**
   * A route bounds the number of endpoints. What may be repeated is sent once more to one that has had it already, since
   * most failures are of the moment.
   */
  get mayRunAgain (): boolean {
    const { kind, maxAttempts } = this.call.route
    return this.sends < maxAttempts || (kind === 'repeatable' && this.sends < maxAttempts + MAX_RERUNS)
  }

  /** Whether only endpoints that have had the request may have it again. */
  get isBoundToKnown (): boolean {
    return this.ranAt.size >= this.call.route.maxAttempts
  }

  hasRunAt (incarnation: string): boolean {
    return this.ranAt.has(incarnation)
  }

  /** Endpoints that are not to have the request next. */
  get excluded (): ReadonlySet<string> {
    return this.isBoundToKnown ? NONE : this.tried
  }
}
