/**
 * Keeps requests in the regions that their route and their organisation allow. The rule applies to every attempt, and to the
 * endpoints from which cached prompt prefixes are copied.
 */
import { Regions, type GatewaySettings } from '@gullwall/config.settings'
import { type OrganisationDescription, type Route, type RouteTable } from '@gullwall/config.document'
import { type Call } from './call.ts'
import { type DataCentreRule } from './eligibility.ts'

/** The lists of allowed regions that apply to one request; a region must be in each of them. */
export type RegionLimits = ReadonlyArray<readonly string[]>

/** Returns the lists of a route and of the organisation whose key was sent. An empty list allows all regions and is left out. */
export function regionLimitsOf (route: Route | undefined, organisation: OrganisationDescription | undefined): RegionLimits {
  return [route?.allowedRegions ?? [], organisation?.allowedRegions ?? []].filter((regions) => regions.length > 0)
}

export interface AllowedRegionsRuleOptions {
  settings: Pick<GatewaySettings, 'regions'>
  view: { readonly table: RouteTable | undefined }
}

/** Creates the rule that keeps requests in their allowed regions. */
export function createAllowedRegionsRule ({ settings, view }: AllowedRegionsRuleOptions): DataCentreRule {
  const regions = new Regions(settings.regions)
  return (dataCentre, call) => {
    const region = regions.regionOf(dataCentre)
    const limit = applicableLimits(call, view.table).find((allowed) => !allowed.includes(region))
    if (limit === undefined) return undefined
    return `${dataCentre} is in ${region === '' ? 'no named region' : region}, allowed regions: ${limit.join(', ')}`
  }
}

/**
 * Returns the limits of the document under which a request arrived, and also those of the current document if it is newer: a
 * request that waits or is sent again must stay in the regions that both documents allow.
 */
function applicableLimits (call: Call, table: RouteTable | undefined): RegionLimits {
  if (table === undefined || table.version === call.documentVersion) return call.regionLimits
  const organisation = call.key === undefined ? undefined : table.organisationOf(call.key)
  return [...call.regionLimits, ...regionLimitsOf(table.routeNamed(call.route.name), organisation)]
}
