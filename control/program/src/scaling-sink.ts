/** The external system from which endpoints are ordered. An adapter implements the interface. */
import { type ScalingOrder } from '@gullwall/control.state'
import { type DeliveryOutcome } from './usage-sink.ts'

/** An order with its sender and fencing token. */
export interface FencedOrder extends Pick<ScalingOrder, 'service' | 'dataCentre' | 'desired'> {
  holder: string
  token: number
  /** Time from which nothing may be sent under this token, by the monotonic clock. */
  validUntil: number
}

export interface ScalingSink {
  order (order: FencedOrder): Promise<DeliveryOutcome>
}
