/** Where usage is reported to, outside of the deployment. An adapter brings one that speaks to it. */
import { type UsageReport } from '@gullwall/control.state'

/** A report with who sends it and under which fencing token. */
export interface FencedReport extends Pick<UsageReport, 'window' | 'counts'> {
  holder: string
  token: number
  /** From then on nothing is sent under this token, by the monotonic clock. */
  validUntil: number
}

export type DeliveryOutcome =
  | { type: 'delivered' }
  /** A higher token has been seen; this one is of no use any more. */
  | { type: 'fenced' }
  /** It was not sent, since its time was over when it was about to be. */
  | { type: 'expired' }
  /** It was not taken, or it is not known whether it was; it may be sent again, though not for as long as was asked for. */
  | { type: 'failed', reason: string, backoffMs?: number | undefined }

export interface UsageSink {
  deliver (report: FencedReport): Promise<DeliveryOutcome>
}
