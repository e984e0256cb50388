/** The log of routing decisions, and the newest of them by request to explain what happened. */
import { type Logger, type RoutingRecord } from '@gullwall/core.logger'

export interface DecisionLogOptions {
  logger: Logger
  /** Of how many requests the decisions are kept. */
  maxRequests?: number
}

/** A decision with the time it took place, as `explain` shows it. */
export type ExplainedDecision = RoutingRecord & { time: string }

const DEFAULT_MAX_REQUESTS = 5000

export class DecisionLog {
  private readonly byRequest = new Map<string, ExplainedDecision[]>()
  private readonly maxRequests: number

  constructor (private readonly options: DecisionLogOptions) {
    this.maxRequests = options.maxRequests ?? DEFAULT_MAX_REQUESTS
  }

  record (decision: Omit<RoutingRecord, 'channel'>): void {
    const record: RoutingRecord = { channel: 'routing', ...decision }
    this.keep(record)
    if (record.decision === 'refuse') this.options.logger.sampled(`refuse/${record.class}`, record)
    else this.options.logger.info(record)
  }

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
