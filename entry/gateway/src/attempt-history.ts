/** The attempts of one request so far, and whether another attempt is allowed. */
import { RunEvidence } from '@gullwall/core.types'
import { type Call } from './call.ts'

/** Maximum number of attempts that endpoints reject without running the request. Rejected attempts do not count as sent. */
const MAX_NOT_RUN = 5

export class AttemptHistory {
  /** Number of attempts that ran or may have run. */
  sentCount = 0
  /** Number of attempts that the endpoint rejected without running the request. */
  notRunCount = 0
  /** Number of attempts for which no connection to the endpoint was established, so that no byte was written. */
  unsentCount = 0
  private readonly tried = new Set<string>()

  constructor (private readonly call: Call, readonly evidence = new RunEvidence()) {}

  /** Number of the current or next attempt, from 1; counts only attempts that may have run. */
  get attemptNumber (): number {
    return this.sentCount + 1
  }

  /** Whether no attempt has been made. */
  get isFirst (): boolean {
    return this.sentCount + this.notRunCount + this.unsentCount === 0
  }

  get mayHaveRun (): boolean {
    return this.evidence.mayHaveRun
  }

  /** Records an attempt that the endpoint rejected without running the request. */
  recordNotRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.notRunCount += 1
  }

  /** Records an attempt that did not reach its endpoint. */
  recordUnsent (incarnation: string): void {
    this.tried.add(incarnation)
    this.unsentCount += 1
  }

  /** Records an attempt that ran or may have run. */
  recordRun (incarnation: string): void {
    this.tried.add(incarnation)
    this.sentCount += 1
  }

  /** Whether a request that was rejected without running may be sent to another endpoint. */
  get canTryAnotherEndpoint (): boolean {
    return this.notRunCount < MAX_NOT_RUN
  }

  /** Whether the route allows another attempt that may run. */
  get canRunAgain (): boolean {
    return this.sentCount < this.call.route.maxAttempts
  }

  /** Incarnations of the endpoints that have been tried already. */
  get excluded (): ReadonlySet<string> {
    return this.tried
  }
}
