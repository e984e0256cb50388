/** Permits to send a request to an endpoint under backoffs, limits and cold starts. Permits are checked again before the first byte. */
import { type EndpointState } from '@gullwall/routing.balancer'
import { type BackoffPermit } from '@gullwall/routing.backoff'
import { type ActiveGrant } from './grant-pool.ts'
import { type GatewayServices } from './index.ts'

export interface SendPermit {
  backoffPermit: BackoffPermit
  /** Whether the endpoint was cold when the permit was acquired; the request then has a grant. */
  isCold: boolean
  /** The grant for a limited endpoint; undefined if the endpoint has no limit. */
  grant: ActiveGrant | undefined
}

type PermitServices = Pick<GatewayServices, 'notices' | 'coldEndpoints' | 'limits' | 'grantPool'>

/** Acquires a permit to send one request; undefined if none is available, or another request has used it since the choice. */
export function acquireSendPermit (services: PermitServices, endpoint: EndpointState): SendPermit | undefined {
  const { notices, coldEndpoints } = services
  const isCold = coldEndpoints.isCold(endpoint)
  const backoffPermit = notices.acquirePermit(endpoint)
  if (backoffPermit === undefined) return undefined
  const grant = takeGrant(services, endpoint)
  // One grant is sufficient for an endpoint that is both limited and cold.
  if (isLimited(services, endpoint) ? grant !== undefined : coldEndpoints.tryTakeGrant(endpoint)) return { backoffPermit, isCold, grant }
  backoffPermit.release()
  return undefined
}

/**
 * Returns, before the first byte is written, why a request may no longer be sent; undefined if it may. If the endpoint has turned cold or
 * advertised a limit since the choice, the request uses an available grant. An expired grant for a limited endpoint is replaced.
 */
export function findSendRefusalReason (services: PermitServices, endpoint: EndpointState, permit: SendPermit): string | undefined {
  const { coldEndpoints, limits, grantPool } = services
  if (isLimited(services, endpoint)) {
    if (permit.grant === undefined || grantPool.isExpired(permit.grant, performance.now())) permit.grant = takeGrant(services, endpoint)
    if (permit.grant !== undefined) return undefined
    limits.totals.withheld += 1
    return 'it is limited, and no grant is available'
  }
  return permit.isCold || coldEndpoints.tryTakeGrant(endpoint) ? undefined : 'it has turned cold, and no grant is available'
}

function isLimited ({ limits }: PermitServices, { description }: EndpointState): boolean {
  return limits.limitPerSecond(description.incarnation) !== undefined
}

function takeGrant ({ limits }: PermitServices, { description }: EndpointState): ActiveGrant | undefined {
  return limits.limitPerSecond(description.incarnation) === undefined ? undefined : limits.takeGrant(description.incarnation)
}
