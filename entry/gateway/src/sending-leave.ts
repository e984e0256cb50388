/** Permits to send a request to an endpoint under backoffs, limits and cold starts. Permits are checked again before the first byte. */
import { type EndpointState } from '@gullwall/routing.balancer'
import { type Permit } from '@gullwall/routing.backoff'
import { type HeldGrant } from './grant-purse.ts'
import { type GatewayServices } from './index.ts'

export interface SendingLeave {
  permit: Permit
  /** Whether the endpoint was cold when the permit was acquired; the request then has a grant. */
  isCold: boolean
  /** The grant for a limited endpoint; undefined if the endpoint has no limit. */
  grant: HeldGrant | undefined
}

type PermitServices = Pick<GatewayServices, 'notices' | 'coldEngines' | 'limits' | 'grantPurse'>

/** Acquires a permit to send one request; undefined if none is available, or another request has used it since the choice. */
export function takeLeave (services: PermitServices, endpoint: EndpointState): SendingLeave | undefined {
  const { notices, coldEngines } = services
  const isCold = coldEngines.isCold(endpoint)
  const permit = notices.acquire(endpoint)
  if (permit === undefined) return undefined
  const grant = takeGrant(services, endpoint)
  // One grant is sufficient for an endpoint that is both limited and cold.
  if (isLimited(services, endpoint) ? grant !== undefined : coldEngines.take(endpoint)) return { permit, isCold, grant }
  permit.released()
  return undefined
}

/**
 * Returns, before the first byte is written, why a request may no longer be sent; undefined if it may. If the endpoint has turned cold or
 * advertised a limit since the choice, the request uses an available grant. An expired grant for a limited endpoint is replaced.
 */
export function whyNoLeave (services: PermitServices, endpoint: EndpointState, leave: SendingLeave): string | undefined {
  const { coldEngines, limits, grantPurse } = services
  if (isLimited(services, endpoint)) {
    if (leave.grant === undefined || grantPurse.isOver(leave.grant, performance.now())) leave.grant = takeGrant(services, endpoint)
    if (leave.grant !== undefined) return undefined
    limits.totals.withheld += 1
    return 'it is limited, and no grant is available'
  }
  return leave.isCold || coldEngines.take(endpoint) ? undefined : 'it has turned cold, and no grant is available'
}

function isLimited ({ limits }: PermitServices, { description }: EndpointState): boolean {
  return limits.limitOf(description.incarnation) !== undefined
}

function takeGrant ({ limits }: PermitServices, { description }: EndpointState): HeldGrant | undefined {
  return limits.limitOf(description.incarnation) === undefined ? undefined : limits.take(description.incarnation)
}
