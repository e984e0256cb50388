/**
 * Keeps requests in the regions that their route and their organisation allow. The rule is asked for the first attempt and
 * for each later one, and for the endpoints that prompts are copied from.
 */
import { Regions, type GatewaySettings } from '@gullwall/config.settings'
import { type OrganisationDescription, type Route, type RouteTable } from '@gullwall/config.document'
import { type Call } from './call.ts'
import { type DataCentreRule } from './eligibility.ts'

/** The lists that bind one request; a region must be in each of them. */
export type RegionLimits = ReadonlyArray<readonly string[]>

/** The lists of a route and of the organisation whose key was given; a list without regions allows all. */
export function regionLimitsOf (route: Route | undefined, organisation: OrganisationDescription | undefined): RegionLimits {
  return [route?.allowedRegions ?? [], organisation?.allowedRegions ?? []].filter((regions) => regions.length > 0)
}

export interface AllowedRegionsRuleOptions {
  settings: Pick<GatewaySettings, 'regions'>
  view: { readonly table: RouteTable | undefined }
}

/** Makes the rule that keeps requests in their allowed regions. */
export function createAllowedRegionsRule ({ settings, view }: AllowedRegionsRuleOptions): DataCentreRule {
  const regions = new Regions(settings.regions)
  return (dataCentre, call) => {
    const region = regions.regionOf(dataCentre)
    const limit = bindingLimits(call, view.table).find((allowed) => !allowed.includes(region))
    if (limit === undefined) return undefined
    return `${dataCentre} lies in ${region === '' ? 'no named region' : region}, allowed: ${limit.join(', ')}`
  }
}

/**
 * The limits that a request arrived with and, where a newer document is in force by now, those of that one too: a request
 * that waits or is sent again must not leave the regions that either of them allows.
 */
function bindingLimits (call: Call, table: RouteTable | undefined): RegionLimits {
  if (table === undefined || table.version === call.documentVersion) return call.regionLimits
  const organisation = call.key === undefined ? undefined : table.organisationOf(call.key)
  return [...call.regionLimits, ...regionLimitsOf(table.routeNamed(call.route.name), organisation)]
}
