/**
 * The endpoints an entry can reach through its links, and which of them a
 * request may use. The answer is cached until records, links or labels change.
 */
import { type EndpointDescription, type EndpointLoad, type Labels } from '@gullwall/core.types'
import { type RecordMap } from '@gullwall/config.records'
import { matches, parseSelector, type Selector } from '@gullwall/routing.selector'
import { type EndpointView, type RoutedRequest, type SidecarPort } from './types.ts'

interface SidecarState {
  port: SidecarPort
  leaving: boolean
  endpoints: string[]
}

/** The part of a request that decides its reach. */
export type ReachQuery = Pick<RoutedRequest, 'group' | 'kind' | 'serves' | 'selectors'>

export class EndpointDirectory {
  private readonly sidecars = new Map<string, SidecarState>()
  private readonly views = new Map<string, EndpointView>()
  private readonly reach = new Map<string, EndpointView[]>()
  private leavingBoxes: ReadonlySet<string> = new Set()

  constructor (private readonly records: RecordMap) {}

  /** Takes what a sidecar says of its endpoints; a new process under the same name replaces the old one. */
  setEndpoints (port: SidecarPort, endpoints: readonly EndpointDescription[], leaving: boolean): void {
    const known = this.sidecars.get(port.name)
    if (known !== undefined && known.port !== port) this.removeSidecar(known.port)
    const names = endpoints.map((endpoint) => endpoint.name)
    this.sidecars.set(port.name, { port, leaving, endpoints: names })
    for (const description of endpoints) this.setEndpoint(port, description)
    for (const stale of known?.endpoints ?? []) {
      if (!names.includes(stale)) this.views.delete(stale)
    }
    this.clearReachCache()
  }

  /** Forgets a sidecar whose link has closed. */
  removeSidecar (port: SidecarPort): void {
    const known = this.sidecars.get(port.name)
    if (known?.port !== port) return
    this.sidecars.delete(port.name)
    for (const name of known.endpoints) {
      if (this.views.get(name)?.sidecar === port) this.views.delete(name)
    }
    this.clearReachCache()
  }

  /** Takes a load report; false if the endpoint is not known. */
  updateLoad (port: SidecarPort, load: EndpointLoad): boolean {
    const view = this.views.get(load.name)
    if (view?.sidecar !== port) return false
    view.load = load
    view.backoffUntil = performance.now() + (load.backOffMs ?? 0)
    return true
  }

  /** Boxes that the platform lists as leaving. */
  setLeavingBoxes (boxes: ReadonlySet<string>): void {
    this.leavingBoxes = boxes
    this.clearReachCache()
  }

  get (endpoint: string): EndpointView | undefined {
    return this.views.get(endpoint)
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

  /** Gives the endpoints that a request may use, whatever their load or health. */
  findReachableEndpoints (query: ReachQuery): readonly EndpointView[] {
    const cached = this.reach.get(query.group)
    if (cached !== undefined) return cached
    const selectors = query.selectors.map(selectorOf)
    const found = [...this.views.values()].filter((view) => this.isReachable(view, query, selectors))
    this.reach.set(query.group, found)
    return found
  }

  /** Must be called when records have changed. */
  clearReachCache (): void {
    this.reach.clear()
  }

  /** What the linked endpoints serve. */
  listServed (): Set<string> {
    return new Set([...this.views.values()].map((view) => view.description.serves))
  }

  private setEndpoint (port: SidecarPort, description: EndpointDescription): void {
    const known = this.views.get(description.name)
    if (known?.sidecar === port) known.description = description
    else this.views.set(description.name, viewOf(description, port))
  }

  private isReachable (view: EndpointView, query: ReachQuery, selectors: readonly Selector[]): boolean {
    const { description, sidecar } = view
    if (description.kind !== query.kind || description.serves !== query.serves) return false
    if (this.sidecars.get(sidecar.name)?.leaving === true || this.leavingBoxes.has(sidecar.name)) return false
    const record = this.records.get('endpoint', description.name)
    if (record?.cordoned === true) return false
    const labels = mergeLabels(view, record?.labels ?? {})
    return selectors.every((selector) => matches(selector, labels))
  }
}

/** The labels of an endpoint: its sidecar's, the operators', and where it stands. */
export function mergeLabels (view: EndpointView, fromRecord: Labels): Labels {
  const { description, sidecar } = view
  return {
    ...description.labels,
    ...fromRecord,
    box: sidecar.name,
    dataCentre: sidecar.dataCentre,
    endpoint: description.name,
    serves: description.serves
  }
}

function selectorOf (text: string): Selector {
  // Records are checked when they are accepted; what can't be read all the same reaches nothing.
  return parseSelector(text).orDefault([{ key: 'unreadable', operator: 'in', values: [] }])
}

function viewOf (description: EndpointDescription, sidecar: SidecarPort): EndpointView {
  return { description, sidecar, load: emptyLoad(description.name), backoffUntil: 0, outstanding: 0, isProbing: false }
}

function emptyLoad (name: string): EndpointLoad {
  return {
    name, inFlight: 0, limit: 0, spare: 0, tokenGapMs: 0, firstTokenMs: 0, failuresInRow: 0, reportedInFlight: 0, preemptableTier: -1
  }
}
