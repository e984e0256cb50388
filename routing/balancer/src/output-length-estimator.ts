/**
 * Estimates the length of an answer. The estimates of callers are right at the median but often far off. A caller's estimate is
 * therefore averaged with the usual estimate of its route, and the usual estimate is used if the caller gives none. The maximum length
 * that a caller gives is only an upper bound, since it is many times the length of most answers.
 */

/** The weight of one request in the usual estimate of its route. */
const REQUEST_WEIGHT = 0.05
/** The weight of the usual estimate in the average, which is taken on a logarithmic scale. */
const USUAL_ESTIMATE_SHARE = 0.5

/** The most routes to store, since route names change with documents; the oldest route is removed first. */
const MAX_ROUTES = 5000

/** What a caller states about the length of its answer. */
export interface OutputLengthHint {
  /** The number of tokens that it expects. */
  expectedTokens?: number | undefined
  /** The maximum number of tokens that it accepts. */
  maxTokens?: number | undefined
}

export class OutputLengthEstimator {
  /** The logarithm of the usual estimate of a route's callers. */
  private readonly usualLog = new Map<string, number>()

  /** Records a request of a route. */
  record (route: string, { expectedTokens }: OutputLengthHint): void {
    if (expectedTokens === undefined || expectedTokens <= 0) return
    const known = this.usualLog.get(route) ?? Math.log(expectedTokens)
    this.usualLog.set(route, known + REQUEST_WEIGHT * (Math.log(expectedTokens) - known))
    const [oldest] = this.usualLog.keys()
    if (this.usualLog.size > MAX_ROUTES && oldest !== undefined) this.usualLog.delete(oldest)
  }

  /** Returns the expected number of tokens; 0 if nothing is known. */
  estimate (route: string, { expectedTokens, maxTokens }: OutputLengthHint): number {
    const usualLog = this.usualLog.get(route)
    const limit = maxTokens !== undefined && maxTokens > 0 ? maxTokens : Infinity
    if (expectedTokens === undefined || expectedTokens <= 0) return usualLog === undefined ? 0 : Math.min(limit, Math.exp(usualLog))
    const logHint = Math.log(expectedTokens)
    return Math.min(limit, Math.exp(logHint + USUAL_ESTIMATE_SHARE * ((usualLog ?? logHint) - logHint)))
  }
}
