/** Where endpoints are ordered, outside of the deployment. An adapter brings one that speaks to it. */
import { type ScalingOrder } from '@gullwall/control.state'
import { type DeliveryOutcome } from './usage-sink.ts'

/** An order with who sends it and under which fencing token. */
export interface FencedOrder extends Pick<ScalingOrder, 'service' | 'dataCentre' | 'desired'> {
  holder: string
  token: number
  /** From then on nothing is sent under this token, by the monotonic clock. */
  validUntil: number
}

export interface ScalingSink {
  order (order: FencedOrder): Promise<DeliveryOutcome>
}
