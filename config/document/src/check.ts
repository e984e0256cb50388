/** Checks that concern a document as a whole. */
import { type Mistake } from '@gullwall/config.checker'
import { type Route, type RoutingDocument } from './model.ts'

const FILE = 'document'

/** Gives every mistake of a document whose shape was checked before. */
export function checkDocument (document: RoutingDocument): Mistake[] {
  return [
    ...checkServices(document),
    ...checkPlaces(document.routes),
    ...checkWeights(document.routes),
    ...checkKeys(document)
  ]
}

/** Gives every region that a document names and that is not among the known ones: nothing could be served there. */
export function checkRegions ({ routes, organisations }: RoutingDocument, known: ReadonlySet<string>): Mistake[] {
  const allowed = known.size > 0 ? `the regions of the settings: ${[...known].sort().join(', ')}` : 'none: the settings name no regions'
  const mistakesOf = (keyPath: string, regions: readonly string[] = []) => regions.filter((region) => !known.has(region)).map((region) => (
    mistake(keyPath, `the unknown region ${region}`, allowed)
  ))
  return [
    ...routes.flatMap(({ name, allowedRegions }) => mistakesOf(`routes.${name}.allowedRegions`, allowedRegions)),
    ...organisations.flatMap(({ name, allowedRegions }) => mistakesOf(`organisations.${name}.allowedRegions`, allowedRegions))
  ]
}

function checkServices ({ routes, services }: RoutingDocument): Mistake[] {
  const known = new Set(services.map((service) => service.name))
  return routes.flatMap((route) => route.split.filter((part) => !known.has(part.service)).map((part) => (
    mistake(`routes.${route.name}.split`, `the service ${part.service}`, 'services of the document')
  )))
}

function checkPlaces (routes: readonly Route[]): Mistake[] {
  const taken = new Map<string, string>()
  return routes.flatMap((route) => {
    const place = placeOf(route)
    const other = taken.get(place)
    taken.set(place, route.name)
    return other === undefined ? [] : [mistake(`routes.${route.name}`, `the host and prefix of ${other}`, 'each host and prefix once')]
  })
}

function checkWeights (routes: readonly Route[]): Mistake[] {
  return routes.filter((route) => sumOf(route) <= 0).map((route) => (
    mistake(`routes.${route.name}.split`, 'weights that sum to 0', 'at least one weight above 0')
  ))
}

function checkKeys ({ organisations }: RoutingDocument): Mistake[] {
  const holders = new Map<string, string>()
  return organisations.flatMap((organisation) => organisation.keys.flatMap((key) => {
    const holder = holders.get(key)
    holders.set(key, organisation.name)
    if (holder === undefined || holder === organisation.name) return []
    return [mistake(`organisations.${organisation.name}.keys`, `a key of ${holder}`, 'each key at one organisation')]
  }))
}

function sumOf (route: Route): number {
  return route.split.reduce((sum, part) => sum + part.weight, 0)
}

/** Where a route lies; hosts are compared without case. */
export function placeOf (route: Pick<Route, 'host' | 'prefix'>): string {
  return `${route.host.toLowerCase()} ${route.prefix}`
}

function mistake (keyPath: string, found: string, allowed: string): Mistake {
  return { file: FILE, keyPath, found, allowed }
}
