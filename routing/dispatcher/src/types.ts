/** What goes into the dispatcher and what comes out. */
import { type EndpointDescription, type EndpointKind, type EndpointLoad, type Tier } from '@gullwall/core.types'
import { type QueueItem } from '@gullwall/routing.fair-queue'
import { type DemandRow } from '@gullwall/transport.messages'

/** A request with all that a decision needs. */
export interface RoutedRequest extends QueueItem {
  kind: EndpointKind
  /** The model or the service that is asked for. */
  serves: string
  floor: number
  firstTokenMs: number
  maxWaitMs: number
  late: 'refuse' | 'serve'
  /** Selectors that an endpoint must satisfy, as text. */
  selectors: readonly string[]
  /** Endpoints that failed this request before. */
  avoidedEndpoints: Set<string>
}

/** The leave to run a request on an endpoint. */
export interface Grant {
  request: RoutedRequest
  endpoint: string
  sidecar: SidecarPort
  /** The offer it takes up; none where the slot was known to be free. */
  offerId?: string
  queuedMs: number
  grantedAt: number
  reason: string
}

export type RefusalReason = 'resting' | 'queue-full' | 'wait-passed' | 'wait-too-long' | 'cancelled' | 'stopping'

/** A request that was certainly not run. */
export interface Refusal {
  reason: RefusalReason
  explanation: string
  retryAfterMs: number
}

/** A linked sidecar, as the dispatcher sees it. */
export interface SidecarPort {
  readonly name: string
  readonly startId: string
  readonly dataCentre: string
  readonly address: string
  sendDemand (rows: DemandRow[]): void
  sendPass (offerId: string): void
  sendPreempt (endpoint: string, className: string, tier: Tier): void
}

/** An offer of a free slot. */
export interface Offer {
  offerId: string
  endpoint: string
  class: string
  tier: Tier
  floor: boolean
}

/** An endpoint as this entry knows it. */
export interface EndpointView {
  description: EndpointDescription
  sidecar: SidecarPort
  load: EndpointLoad
  /** Until when it wants nothing, by the monotonic clock. */
  backoffUntil: number
  /** Attempts of this entry in flight there. */
  outstanding: number
  /** Whether a probe of this entry is in flight there. */
  isProbing: boolean
}
