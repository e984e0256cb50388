/**
 * The endpoints that an entry reaches through its links, and the selection of those that a request may use. Selections are
 * cached until records, links or labels change.
 */
import { type EndpointDescription, type EndpointLoad, type Labels } from '@gullwall/core.types'
import { type RecordMap } from '@gullwall/config.records'
import { matches, parseSelector, type Selector } from '@gullwall/routing.selector'
import { type EndpointView, type RoutedRequest, type SidecarPort } from './types.ts'

interface SidecarState {
  port: SidecarPort
  isLeaving: boolean
  endpoints: string[]
}

/** The properties of a request that determine which endpoints it may use. */
export type ReachQuery = Pick<RoutedRequest, 'group' | 'kind' | 'serves' | 'selectors'>

export class EndpointDirectory {
  private readonly sidecars = new Map<string, SidecarState>()
  private readonly views = new Map<string, EndpointView>()
  /** The endpoints that requests may use, by group. */
  private readonly reachCache = new Map<string, EndpointView[]>()
  private leavingBoxes: ReadonlySet<string> = new Set()

  constructor (private readonly records: RecordMap) {}

  /** Replaces the endpoints of a sidecar. A new process under the same name replaces the old one. */
  setEndpoints (port: SidecarPort, endpoints: readonly EndpointDescription[], isLeaving: boolean): void {
    const known = this.sidecars.get(port.name)
    if (known !== undefined && known.port !== port) this.removeSidecar(known.port)
    const names = endpoints.map((endpoint) => endpoint.name)
    this.sidecars.set(port.name, { port, isLeaving, endpoints: names })
    for (const description of endpoints) this.setEndpoint(port, description)
    for (const stale of known?.endpoints ?? []) {
      if (!names.includes(stale)) this.views.delete(stale)
    }
    this.clearReachCache()
  }

  /** Removes a sidecar whose link has closed. */
  removeSidecar (port: SidecarPort): void {
    const known = this.sidecars.get(port.name)
    if (known?.port !== port) return
    this.sidecars.delete(port.name)
    for (const name of known.endpoints) {
      if (this.views.get(name)?.sidecar === port) this.views.delete(name)
    }
    this.clearReachCache()
  }

  /**
   * Applies a load report.
   * @returns false if the endpoint does not belong to the sidecar
   */
  updateLoad (port: SidecarPort, load: EndpointLoad): boolean {
    const view = this.views.get(load.name)
    if (view?.sidecar !== port) return false
    view.load = load
    view.backoffUntil = performance.now() + (load.backOffMs ?? 0)
    return true
  }

  /** Sets the names of the boxes that the platform lists as leaving. */
  setLeavingBoxes (boxes: ReadonlySet<string>): void {
    this.leavingBoxes = boxes
    this.clearReachCache()
  }

  get (endpoint: string): EndpointView | undefined {
    return this.views.get(endpoint)
  }

  /** Returns the labels of an endpoint, operators' and built-in ones included; none if it is not linked. */
  labelsOf (endpoint: string): Labels {
    const view = this.views.get(endpoint)
    return view === undefined ? {} : mergeLabels(view, this.records.get('endpoint', endpoint)?.labels ?? {})
  }

  all (): IterableIterator<EndpointView> {
    return this.views.values()
  }

  ports (): SidecarPort[] {
    return [...this.sidecars.values()].map((sidecar) => sidecar.port)
  }

  endpointCount (port: SidecarPort): number {
    return this.sidecars.get(port.name)?.endpoints.length ?? 0
  }

  /** Returns the endpoints that a request may use, regardless of their load and health. */
  findReachableEndpoints (query: ReachQuery): readonly EndpointView[] {
    const cached = this.reachCache.get(query.group)
    if (cached !== undefined) return cached
    const selectors = query.selectors.map(parseSelectorOrNone)
    const found = [...this.views.values()].filter((view) => this.isReachable(view, query, selectors))
    this.reachCache.set(query.group, found)
    return found
  }

  /** Clears the cached selections. It must be called after each change of records. */
  clearReachCache (): void {
    this.reachCache.clear()
  }

  /** Returns the models and services of all linked endpoints. */
  listServed (): Set<string> {
    return new Set([...this.views.values()].map((view) => view.description.serves))
  }

  private setEndpoint (port: SidecarPort, description: EndpointDescription): void {
    const known = this.views.get(description.name)
    if (known?.sidecar === port) known.description = description
    else this.views.set(description.name, createView(description, port))
  }

  private isReachable (view: EndpointView, query: ReachQuery, selectors: readonly Selector[]): boolean {
    const { description, sidecar } = view
    if (description.kind !== query.kind || description.serves !== query.serves) return false
    if (this.sidecars.get(sidecar.name)?.isLeaving === true || this.leavingBoxes.has(sidecar.name)) return false
    if (this.records.get('endpoint', description.name)?.cordoned === true) return false
    const labels = this.labelsOf(description.name)
    return selectors.every((selector) => matches(selector, labels))
  }
}

/** Merges the labels of an endpoint: its sidecar's, then those of the operators' record, then the built-in ones. */
export function mergeLabels (view: EndpointView, recordLabels: Labels): Labels {
  const { description, sidecar } = view
  return {
    ...description.labels,
    ...recordLabels,
    box: sidecar.name,
    dataCentre: sidecar.dataCentre,
    endpoint: description.name,
    serves: description.serves
  }
}

function parseSelectorOrNone (text: string): Selector {
  // Records are validated when they are accepted. A selector that is still invalid matches no endpoint.
  return parseSelector(text).orDefault([{ key: 'unreadable', operator: 'in', values: [] }])
}

function createView (description: EndpointDescription, sidecar: SidecarPort): EndpointView {
  return { description, sidecar, load: createEmptyLoad(description.name), backoffUntil: 0, outstanding: 0, isProbing: false }
}

function createEmptyLoad (name: string): EndpointLoad {
  return {
    name, inFlight: 0, limit: 0, spare: 0, tokenGapMs: 0, firstTokenMs: 0, failuresInRow: 0, reportedInFlight: 0, preemptableTier: -1
  }
}
