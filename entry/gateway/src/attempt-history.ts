/** The attempts of one request so far, and whether another attempt is allowed. */
import { type ForwardRecord } from '@gullwall/core.logger'
import { type Call } from './call.ts'

type NotRunEvidence = NonNullable<ForwardRecord['evidence']>

/** Maximum number of attempts that endpoints reject without running the request. Rejected attempts do not count as sent. */
const MAX_NOT_RUN = 5

export class AttemptHistory {
  /** Number of attempts that ran or may have run. */
  sentCount = 0
  /** Number of attempts that the endpoint rejected without running the request. */
  notRunCount = 0
  /** Number of attempts for which no connection to the endpoint was established, so that no byte was written. */
  unsentCount = 0
  /** Whether an attempt counts as not run although the endpoint did not mark its response so. */
  private hasUnmarkedRejection = false
  private readonly tried = new Set<string>()

  constructor (private readonly call: Call) {}

  /** Number of the current or next attempt, from 1; counts only attempts that may have run. */
  get attemptNumber (): number {
    return this.sentCount + 1
  }

  /** Whether no attempt has been made. */
  get isFirst (): boolean {
    return this.sentCount + this.notRunCount + this.unsentCount === 0
  }

  get mayHaveRun (): boolean {
    return this.sentCount > 0
  }

  /** What shows that the request has not run, if it has not. */
  get notRunEvidence (): NotRunEvidence {
    if (this.notRunCount === 0) return 'unsent'
    return this.hasUnmarkedRejection ? 'status' : 'marked'
  }

  /** Records an attempt that the endpoint rejected without running the request. */
  recordNotRun (incarnation: string, isMarked: boolean): void {
    this.tried.add(incarnation)
    this.hasUnmarkedRejection ||= !isMarked
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
