/** The attempts of one request so far, and whether another attempt is allowed. */
import { type Call } from './call.ts'

/** Maximum number of attempts that endpoints reject without running the request. Rejected attempts do not count as sent. */
const MAX_NOT_RUN = 5

export class AttemptHistory {
  /** Number of attempts that ran or may have run. */
  sends = 0
  /** Number of attempts that the endpoint rejected without running the request. */
  notRun = 0
  /** Number of attempts for which no connection to the endpoint was established, so that no byte was written. */
  unsent = 0
  private readonly tried = new Set<string>()

  constructor (private readonly call: Call) {}

  /** Number of the current or next attempt, from 1; counts only attempts that may have run. */
  get attempt (): number {
    return this.sends + 1
  }

  /** Whether no attempt has been made. */
  get isFirst (): boolean {
    return this.sends + this.notRun + this.unsent === 0
  }

  get mayHaveRun (): boolean {
    return this.sends > 0
  }

  /** Records an attempt that the endpoint rejected without running the request. */
  noteNotRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.notRun += 1
  }

  /** Records an attempt that did not reach its endpoint. */
  noteUnsent (incarnation: string): void {
    this.tried.add(incarnation)
    this.unsent += 1
  }

  /** Records an attempt that ran or may have run. */
  noteRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.sends += 1
  }

  /** Whether a request that was rejected without running may be sent to another endpoint. */
  get mayBeTriedElsewhere (): boolean {
    return this.notRun < MAX_NOT_RUN
  }

  /** Whether the route allows another attempt that may run. */
  get mayRunAgain (): boolean {
    return this.sends < this.call.route.maxAttempts
  }

  /** Incarnations of the endpoints that have been tried already. */
  get excluded (): ReadonlySet<string> {
    return this.tried
  }
}
