/** Leave to send a request to an endpoint: what each reason to hold back has given for it, looked at again before the first byte. */
import { type EndpointState } from '@gullwall/routing.balancer'
import { type Permit } from '@gullwall/routing.backoff'
import { type HeldGrant } from './grant-purse.ts'
import { type GatewayServices } from './index.ts'

export interface SendingLeave {
  permit: Permit
  /** Whether its endpoint is cold, and the request has a grant for that. */
  isCold: boolean
  /** Under which grant it is sent to a limited endpoint, cold or not. */
  grant: HeldGrant | undefined
}

type LeaveServices = Pick<GatewayServices, 'notices' | 'coldEngines' | 'limits' | 'grantPurse'>

/** Takes leave to send one request; undefined where there is none, or another request has used it since the choice. */
export function takeLeave (services: LeaveServices, endpoint: EndpointState): SendingLeave | undefined {
  const { notices, coldEngines } = services
  const isCold = coldEngines.isCold(endpoint)
  const permit = notices.acquire(endpoint)
  if (permit === undefined) return undefined
  const grant = takeGrant(services, endpoint)
  // One grant serves all reasons to bound an endpoint.
  if (isLimited(services, endpoint) ? grant !== undefined : coldEngines.take(endpoint)) return { permit, isCold, grant }
  permit.released()
  return undefined
}

/**
 * Why a request is not sent after all, before its first byte; undefined if it is. An endpoint that has turned cold or named a limit
 * since the choice takes a grant that is at hand; one of a limited endpoint must not be over yet.
 */
export function whyNoLeave (services: LeaveServices, endpoint: EndpointState, leave: SendingLeave): string | undefined {
  const { coldEngines, limits, grantPurse } = services
  if (isLimited(services, endpoint)) {
    if (leave.grant === undefined || grantPurse.isOver(leave.grant, performance.now())) leave.grant = takeGrant(services, endpoint)
    if (leave.grant !== undefined) return undefined
    limits.totals.withheld += 1
    return 'it is limited, and no grant is at hand'
  }
  return leave.isCold || coldEngines.take(endpoint) ? undefined : 'it has turned cold, and no grant is at hand'
}

function isLimited ({ limits }: LeaveServices, { description }: EndpointState): boolean {
  return limits.limitOf(description.incarnation) !== undefined
}

function takeGrant ({ limits }: LeaveServices, { description }: EndpointState): HeldGrant | undefined {
  return limits.limitOf(description.incarnation) === undefined ? undefined : limits.take(description.incarnation)
}
