/** Logs routing decisions, and keeps the decisions of recent requests so that they can be explained. */
import { type Logger, type RoutingRecord } from '@gullwall/core.logger'

export interface DecisionLogOptions {
  logger: Logger
  /** The number of requests whose decisions are kept. */
  maxRequests?: number
}

/** A decision with its time in ISO 8601. */
export type ExplainedDecision = RoutingRecord & { time: string }

const DEFAULT_MAX_REQUESTS = 5000

export class DecisionLog {
  private readonly byRequest = new Map<string, ExplainedDecision[]>()
  private readonly maxRequests: number

  constructor (private readonly options: DecisionLogOptions) {
    this.maxRequests = options.maxRequests ?? DEFAULT_MAX_REQUESTS
  }

  /** Logs and keeps a decision. Log lines of refusals are sampled. */
  record (decision: Omit<RoutingRecord, 'channel'>): void {
    const record: RoutingRecord = { channel: 'routing', ...decision }
    this.keep(record)
    if (record.decision === 'refuse') this.options.logger.sampled(`refuse/${record.class}`, record)
    else this.options.logger.info(record)
  }

  /** Returns the decisions on a request, oldest first; empty if they are no longer kept. */
  explain (requestId: string): readonly ExplainedDecision[] {
    return this.byRequest.get(requestId) ?? []
  }

  private keep (record: RoutingRecord): void {
    const explained = { time: new Date().toISOString(), ...record }
    const known = this.byRequest.get(record.requestId)
    if (known !== undefined) {
      known.push(explained)
      return
    }
    this.byRequest.set(record.requestId, [explained])
    if (this.byRequest.size <= this.maxRequests) return
    const oldest = this.byRequest.keys().next().value
    if (oldest !== undefined) this.byRequest.delete(oldest)
  }
}
