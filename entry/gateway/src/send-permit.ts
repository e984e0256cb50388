/** Leave to send a request to an endpoint: what each reason to hold back has given for it, looked at again before the first byte. */
import { type EndpointState } from '@gullwall/routing.balancer'
import { type BackoffPermit } from '@gullwall/routing.backoff'
import { type ActiveGrant } from './grant-pool.ts'
import { type GatewayServices } from './index.ts'

export interface SendPermit {
  backoffPermit: BackoffPermit
  /** Whether its endpoint is cold, and the request has a grant for that. */
  isCold: boolean
  /** Under which grant it is sent to a limited endpoint, cold or not. */
  grant: ActiveGrant | undefined
}

type LeaveServices = Pick<GatewayServices, 'notices' | 'coldEndpoints' | 'limits' | 'grantPool'>

/** Takes leave to send one request; undefined where there is none, or another request has used it since the choice. */
export function acquireSendPermit (services: LeaveServices, endpoint: EndpointState): SendPermit | undefined {
  const { notices, coldEndpoints } = services
  const isCold = coldEndpoints.isCold(endpoint)
  const permit = notices.acquirePermit(endpoint)
  if (permit === undefined) return undefined
  const grant = takeGrant(services, endpoint)
  // One grant serves all reasons to bound an endpoint.
  if (
    isLimited(services, endpoint) ? grant !== undefined : coldEndpoints.tryTakeGrant(endpoint)
  ) return { backoffPermit: permit, isCold, grant }
  permit.release()
  return undefined
}

/**
 * Why a request is not sent after all, before its first byte; undefined if it is. An endpoint that has turned cold or named a limit
 * since the choice takes a grant that is at hand; one of a limited endpoint must not be over yet.
 */
export function findSendRefusalReason (services: LeaveServices, endpoint: EndpointState, leave: SendPermit): string | undefined {
  const { coldEndpoints, limits, grantPool } = services
  if (isLimited(services, endpoint)) {
    if (leave.grant === undefined || grantPool.isExpired(leave.grant, performance.now())) leave.grant = takeGrant(services, endpoint)
    if (leave.grant !== undefined) return undefined
    limits.totals.withheld += 1
    return 'it is limited, and no grant is at hand'
  }
  return leave.isCold || coldEndpoints.tryTakeGrant(endpoint) ? undefined : 'it has turned cold, and no grant is at hand'
}

function isLimited ({ limits }: LeaveServices, { description }: EndpointState): boolean {
  return limits.limitPerSecond(description.incarnation) !== undefined
}

function takeGrant ({ limits }: LeaveServices, { description }: EndpointState): ActiveGrant | undefined {
  return limits.limitPerSecond(description.incarnation) === undefined ? undefined : limits.takeGrant(description.incarnation)
}
