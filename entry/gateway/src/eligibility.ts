/**
 * Which endpoints a request may have at all, whatever they cost. Each rule says why not, for the log and for the caller.
 * Rules of places are asked once for each data centre, rules of endpoints for each candidate.
 */
import { type EndpointState } from '@gullwall/routing.balancer'
import { type Call } from './call.ts'

/** Why nothing is sent to a data centre for a request; undefined if it may be. */
export type PlaceRule = (dataCentre: string, call: Call) => string | undefined

/** Why a request is not sent to an endpoint now; undefined if it may be. */
export type EndpointRule = (endpoint: EndpointState, call: Call) => string | undefined

/** The rules in force, in the order in which they are asked. */
export interface EligibilityRules {
  places: readonly PlaceRule[]
  endpoints: readonly EndpointRule[]
}

/** Why a request may not have an endpoint; undefined if it may. */
export function whyNotEligible (rules: EligibilityRules, endpoint: EndpointState, call: Call): string | undefined {
  return whyNotPlace(rules, endpoint.description.dataCentre, call) ?? whyNotEndpoint(rules, endpoint, call)
}

/** Why a request may not go to a data centre; undefined if it may. */
export function whyNotPlace ({ places }: EligibilityRules, dataCentre: string, call: Call): string | undefined {
  for (const rule of places) {
    const why = rule(dataCentre, call)
    if (why !== undefined) return why
  }
  return undefined
}

/** Why a request may not have an endpoint of a data centre where it may go; undefined if it may. */
export function whyNotEndpoint ({ endpoints }: EligibilityRules, endpoint: EndpointState, call: Call): string | undefined {
  for (const rule of endpoints) {
    const why = rule(endpoint, call)
    if (why !== undefined) return why
  }
  return undefined
}
