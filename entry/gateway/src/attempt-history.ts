/** What became of the attempts of one request so far, and whether another one is allowed. */
import { type Call } from './call.ts'

/** So many attempts that the endpoint answers without running them are made; they do not count as sent. */
const MAX_NOT_RUN = 5

export class AttemptHistory {
  /** Attempts that may have run. */
  sentCount = 0
  /** Attempts that the endpoint answered without running them. */
  notRunCount = 0
  /** Attempts of which not a byte was written, since the endpoint could not be connected to. */
  unsentCount = 0
  private readonly tried = new Set<string>()

  constructor (private readonly call: Call) {}

  /** The number of the attempt that is next or under way, from 1. */
  get attemptNumber (): number {
    return this.sentCount + 1
  }

  /** Whether nothing has been tried yet. */
  get isFirst (): boolean {
    return this.sentCount + this.notRunCount + this.unsentCount === 0
  }

  get mayHaveRun (): boolean {
    return this.sentCount > 0
  }

  /** Notes an attempt that certainly did not run. */
  recordNotRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.notRunCount += 1
  }

  /** Notes an attempt that did not even reach its endpoint. */
  recordUnsent (incarnation: string): void {
    this.tried.add(incarnation)
    this.unsentCount += 1
  }

  /** Notes an attempt that ran or may have run. */
  recordRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.sentCount += 1
  }

  /** Whether a request that did not run may be tried at one more endpoint. */
  get canTryAnotherEndpoint (): boolean {
    return this.notRunCount < MAX_NOT_RUN
  }

  /** Whether the route allows one more endpoint to run it. */
  get canRunAgain (): boolean {
    return this.sentCount < this.call.route.maxAttempts
  }

  /** Endpoints that are not to have the request next. */
  get excluded (): ReadonlySet<string> {
    return this.tried
  }
}
