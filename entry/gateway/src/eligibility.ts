/**
 * Rules that decide which endpoints a request may be sent to, regardless of their cost. Each rule returns the reason of a refusal
 * for the log and for the caller. Data centre rules are evaluated once for each data centre, endpoint rules for each candidate.
 */
import { type EndpointState } from '@gullwall/routing.balancer'
import { type Call } from './call.ts'

/** Returns why a request may not be sent to a data centre; undefined if it may. */
export type DataCentreRule = (dataCentre: string, call: Call) => string | undefined

/** Returns why a request may not be sent to an endpoint now; undefined if it may. */
export type EndpointRule = (endpoint: EndpointState, call: Call) => string | undefined

/** The rules in force, in the order of evaluation. */
export interface EligibilityRules {
  dataCentres: readonly DataCentreRule[]
  endpoints: readonly EndpointRule[]
}

/** Returns why a request may not be sent to an endpoint, by the rules for data centres and endpoints; undefined if it may. */
export function findRefusalReason (rules: EligibilityRules, endpoint: EndpointState, call: Call): string | undefined {
  return findDataCentreRefusalReason(rules, endpoint.description.dataCentre, call) ?? findEndpointRefusalReason(rules, endpoint, call)
}

/** Returns why a request may not be sent to a data centre; undefined if it may be. */
export function findDataCentreRefusalReason ({ dataCentres }: EligibilityRules, dataCentre: string, call: Call): string | undefined {
  for (const rule of dataCentres) {
    const reason = rule(dataCentre, call)
    if (reason !== undefined) return reason
  }
  return undefined
}

/** Returns why a request may not be sent to an endpoint of an allowed data centre; undefined if it may. */
export function findEndpointRefusalReason ({ endpoints }: EligibilityRules, endpoint: EndpointState, call: Call): string | undefined {
  for (const rule of endpoints) {
    const reason = rule(endpoint, call)
    if (reason !== undefined) return reason
  }
  return undefined
}
