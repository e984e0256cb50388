/**
 * How long an answer will probably be. A caller's estimate is right at the median and often far off, so that it is drawn
 * half way to what the route's callers usually estimate; where the caller says nothing the usual counts. The most that the
 * caller takes is a limit in any case: it is many times what most answers have.
 */

/** What one request counts for in the usual of its route. */
const USUAL_WEIGHT = 0.05
/** How far an estimate is drawn to the usual, on a logarithmic scale. */
const USUAL_SHARE = 0.5

/** Of so many routes something is kept; the one that was met first gives way: names come and go with documents. */
const MAX_ROUTES = 5000

/** What a caller says of the length of its answer. */
export interface OutputLengthHint {
  /** The tokens it expects. */
  expectedTokens?: number | undefined
  /** The most it takes. */
  maxTokens?: number | undefined
}

export class OutputLengthEstimator {
  /** The logarithm of what callers of a route usually estimate. */
  private readonly usual = new Map<string, number>()

  /** Notes a request of a route. */
  record (route: string, { expectedTokens }: OutputLengthHint): void {
    if (expectedTokens === undefined || expectedTokens <= 0) return
    const known = this.usual.get(route) ?? Math.log(expectedTokens)
    this.usual.set(route, known + USUAL_WEIGHT * (Math.log(expectedTokens) - known))
    const [oldest] = this.usual.keys()
    if (this.usual.size > MAX_ROUTES && oldest !== undefined) this.usual.delete(oldest)
  }

  /** The tokens to expect; none where nothing is known. */
  estimate (route: string, { expectedTokens, maxTokens }: OutputLengthHint): number {
    const usual = this.usual.get(route)
    const limit = maxTokens !== undefined && maxTokens > 0 ? maxTokens : Infinity
    if (expectedTokens === undefined || expectedTokens <= 0) return usual === undefined ? 0 : Math.min(limit, Math.exp(usual))
    const logHint = Math.log(expectedTokens)
    return Math.min(limit, Math.exp(logHint + USUAL_SHARE * ((usual ?? logHint) - logHint)))
  }
}
