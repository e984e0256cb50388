/** The inputs and results of the dispatcher. */
import { type EndpointDescription, type EndpointKind, type EndpointLoad, type Tier } from '@gullwall/core.types'
import { type QueueItem } from '@gullwall/routing.fair-queue'
import { type DemandRow } from '@gullwall/transport.messages'

/** A request with the properties that routing decisions need. */
export interface RoutedRequest extends QueueItem {
  kind: EndpointKind
  /** The requested model or service. */
  serves: string
  /** The share of slots that the request's class is guaranteed, between 0 and 1. */
  floor: number
  /** The target for the time to the first token, in ms. */
  firstTokenMs: number
  maxWaitMs: number
  /** Whether the request is refused or still served after {@link maxWaitMs}. */
  late: 'refuse' | 'serve'
  /** Label selectors that an endpoint must satisfy, as text. */
  selectors: readonly string[]
  /** Names of endpoints that failed this request before. */
  avoidedEndpoints: Set<string>
}

/** Permission to run a request on an endpoint. */
export interface Grant {
  request: RoutedRequest
  endpoint: string
  sidecar: SidecarPort
  /** The accepted offer; undefined if the slot was known to be free. */
  offerId?: string
  queuedMs: number
  /** In ms of the monotonic clock. */
  grantedAt: number
  reason: string
}

export type RefusalReason = 'resting' | 'queue-full' | 'wait-passed' | 'wait-too-long' | 'cancelled' | 'stopping'

/** The result for a request that is sent to no endpoint now. An earlier attempt may have run it. */
export interface Refusal {
  reason: RefusalReason
  explanation: string
  retryAfterMs: number
}

/** A sidecar that is linked to this entry. */
export interface SidecarPort {
  readonly name: string
  readonly startId: string
  readonly dataCentre: string
  readonly address: string
  sendDemand (rows: DemandRow[]): void
  sendPass (offerId: string): void
  sendPreempt (endpoint: string, className: string, tier: Tier): void
}

/** A sidecar's offer of a free slot. */
export interface Offer {
  offerId: string
  endpoint: string
  class: string
  tier: Tier
  floor: boolean
}

/** The state of an endpoint as known to this entry. */
export interface EndpointView {
  description: EndpointDescription
  sidecar: SidecarPort
  load: EndpointLoad
  /** The end of the backoff that the endpoint requested, in ms of the monotonic clock; 0 if it requested none. */
  backoffUntil: number
  /** The number of this entry's attempts in flight at the endpoint. */
  outstanding: number
  /** Whether a probe of this entry is in flight at the endpoint. */
  isProbing: boolean
}
