/** The external system that receives usage reports. An adapter implements the interface. */
import { type UsageReport } from '@gullwall/control.state'

/** A report with its sender and fencing token. */
export interface FencedReport extends Pick<UsageReport, 'window' | 'counts'> {
  holder: string
  token: number
  /** Time from which nothing may be sent under this token, by the monotonic clock. */
  validUntil: number
}

export type DeliveryOutcome =
  | { type: 'delivered' }
  /** The external system has received a higher token and refuses this one from now on. */
  | { type: 'fenced' }
  /** Nothing was sent, because `validUntil` had passed. */
  | { type: 'expired' }
  /** It is not known to be accepted. It may be sent again, after the backoff if the external system requested one. */
  | { type: 'failed', reason: string, backoffMs?: number | undefined }

export interface UsageSink {
  deliver (report: FencedReport): Promise<DeliveryOutcome>
}
