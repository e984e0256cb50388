/**
 * Which endpoints a request may have at all, whatever they cost. Each rule says why not, for the log and for the caller.
 * Rules of places are asked once for each data centre, rules of endpoints for each candidate.
 */
import { type EndpointState } from '@gullwall/routing.balancer'
import { type Call } from './call.ts'

/** Why nothing is sent to a data centre for a request; undefined if it may be. */
export type DataCentreRule = (dataCentre: string, call: Call) => string | undefined

/** Why a request is not sent to an endpoint now; undefined if it may be. */
export type EndpointRule = (endpoint: EndpointState, call: Call) => string | undefined

/** The rules in force, in the order in which they are asked. */
export interface EligibilityRules {
  dataCentres: readonly DataCentreRule[]
  endpoints: readonly EndpointRule[]
}

/** Why a request may not have an endpoint; undefined if it may. */
export function findRefusalReason (rules: EligibilityRules, endpoint: EndpointState, call: Call): string | undefined {
  return findDataCentreRefusalReason(rules, endpoint.description.dataCentre, call) ?? findEndpointRefusalReason(rules, endpoint, call)
}

/** Why a request may not go to a data centre; undefined if it may. */
export function findDataCentreRefusalReason ({ dataCentres }: EligibilityRules, dataCentre: string, call: Call): string | undefined {
  for (const rule of dataCentres) {
    const why = rule(dataCentre, call)
    if (why !== undefined) return why
  }
  return undefined
}

/** Why a request may not have an endpoint of a data centre where it may go; undefined if it may. */
export function findEndpointRefusalReason ({ endpoints }: EligibilityRules, endpoint: EndpointState, call: Call): string | undefined {
  for (const rule of endpoints) {
    const why = rule(endpoint, call)
    if (why !== undefined) return why
  }
  return undefined
}
