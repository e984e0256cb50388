/** A document indexed for lookups. */
import { type OrganisationDescription, type Route, type RoutingDocument, type ServiceDescription } from './model.ts'

export class RouteTable {
  private readonly services: Map<string, ServiceDescription>
  private readonly organisations = new Map<string, OrganisationDescription>()
  private readonly longestTargets = new Map<string, number>()
  private readonly routes = new Map<string, Map<string, Route>>()
  private readonly routesByName: ReadonlyMap<string, Route>

  constructor (readonly document: RoutingDocument) {
    this.services = new Map(document.services.map((service) => [service.name, service]))
    for (const organisation of document.organisations) {
      for (const key of organisation.keys) this.organisations.set(key, organisation)
    }
    for (const route of document.routes) this.addRoute(route)
    this.routesByName = new Map(document.routes.map((route) => [route.name, route]))
  }

  get version (): number {
    return this.document.version
  }

  /** Whether any request needs a key. */
  get hasOrganisations (): boolean {
    return this.document.organisations.length > 0
  }

  /** The route with the longest prefix that begins the path. */
  routeFor (host: string, path: string): Route | undefined {
    const routes = this.routes.get(withoutPort(host).toLowerCase())
    if (routes === undefined) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1))
      if (route !== undefined || end === 0) return route
    }
    return undefined
  }

  routeNamed (name: string): Route | undefined {
    return this.routesByName.get(name)
  }

  /**
   * The longest target, in ms, among a route and those of the same services that are no more urgent. Nothing is refused for
   * a wait at which less urgent requests are still taken.
   */
  longestTargetMs (route: Route): number {
    const known = this.longestTargets.get(route.name)
    if (known !== undefined) return known
    const services = new Set(route.split.map(({ service }) => service))
    const targets = this.document.routes
      .filter(({ tier, split }) => tier >= route.tier && split.some(({ service }) => services.has(service)))
      .map(({ targetMs }) => targetMs)
    const longest = Math.max(route.targetMs, ...targets)
    this.longestTargets.set(route.name, longest)
    return longest
  }

  organisationOf (key: string): OrganisationDescription | undefined {
    return this.organisations.get(key)
  }

  service (name: string): ServiceDescription | undefined {
    return this.services.get(name)
  }

  private addRoute (route: Route): void {
    const host = route.host.toLowerCase()
    const routes = this.routes.get(host) ?? new Map<string, Route>()
    routes.set(route.prefix, route)
    this.routes.set(host, routes)
  }
}

function withoutPort (host: string): string {
  return host.replace(/:\d+$/, '')
}
