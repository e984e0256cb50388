/** What became of the attempts of one request so far, and whether another one is allowed. */
import { type Call } from './call.ts'

/** So many attempts that did not run are made; they do not count as sent. */
const MAX_NOT_RUN = 5

export class AttemptHistory {
  /** Attempts that may have run. */
  sends = 0
  /** Attempts that certainly did not run. */
  notRun = 0
  private readonly tried = new Set<string>()

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
    this.sends += 1
  }

  get mayBeTriedElsewhere (): boolean {
    return this.notRun < MAX_NOT_RUN
  }

  get mayRunAgain (): boolean {
    return this.sends < this.call.route.maxAttempts
  }

  /** Endpoints that are not to have the request next. */
  get excluded (): ReadonlySet<string> {
    return this.tried
  }
}
