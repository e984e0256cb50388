/** The view that this process has of the deployment: the current document and the endpoints that have a lease. */
import { Regions, type GatewaySettings } from '@gullwall/config.settings'
import { RouteTable, type DocumentFormat } from '@gullwall/config.document'
import { type RevisionStore } from '@gullwall/config.spread'
import { LeaseTable, type KnownLease } from '@gullwall/control.registry'
import { DOCUMENT_KEY, type StoredDocument } from '@gullwall/control.state'
import { type Logger } from '@gullwall/core.logger'
import { EndpointIndex, EndpointState, ReservedEngines, type EndpointPool } from '@gullwall/routing.balancer'
import { type Connections } from './connections.ts'

export interface DeploymentViewOptions {
  settings: Pick<GatewaySettings, 'regions'>
  store: RevisionStore
  format: DocumentFormat
  logger: Logger
  connections: Connections
}

/** Receives changes of the rate limits that endpoints advertise, and the endpoints that are gone. */
export interface LimitListener {
  recordLimit: (lease: KnownLease) => void
  forget: (incarnation: string) => void
}

/** Interval at which endpoints that are gone are removed, in ms. */
const SWEEP_MS = 1000
/** Number of idle endpoints that are checked in one tick: 12,000 endpoints take 47 ticks of 60 ms. */
const SCAN_SIZE = 256

/** An endpoint to check in the current tick, and the number of ticks from one check to the next. */
export interface ScanItem {
  endpoint: EndpointState
  ticks: number
}

/** A request that waits for a change; those of lower rank are woken first. */
interface Waiter {
  rank: number
  done: () => void
}

export class DeploymentView {
  /** The routes of the current document; undefined before the first document. */
  table: RouteTable | undefined
  /** Number of entries that share the budgets of the deployment, as counted by control. */
  entryCount = 1
  /** When control first reported that number, by the monotonic clock; undefined before. */
  entriesCountedSince: number | undefined
  readonly leases: LeaseTable
  /** Engines that are kept free of long prompts. */
  readonly reserved = new ReservedEngines()
  private readonly regions: Regions
  /** When the current document was applied, by the monotonic clock. */
  private documentAt = -Infinity
  /** The endpoints by service and by state, for the choice of an endpoint. */
  readonly index = new EndpointIndex()
  private readonly endpoints = new Map<string, EndpointState>()
  /** Incarnations whose lease is missing or gone; they are removed once they have no requests in flight. */
  private readonly gone = new Set<string>()
  /** Position of the scan over all endpoints. */
  private scan: Iterator<EndpointState> | undefined
  private readonly waiters = new Set<Waiter>()
  private timer: NodeJS.Timeout | undefined
  private limitListener: LimitListener | undefined

  constructor (private readonly options: DeploymentViewOptions) {
    this.regions = new Regions(options.settings.regions)
    this.leases = new LeaseTable({
      logger: options.logger,
      onChange: (changed) => this.leasesChanged(changed),
      onLimit: (lease) => this.limitListener?.recordLimit(lease),
      onTouched: (incarnation) => this.updateUsable(incarnation)
    })
    options.store.onChange(() => this.documentChanged())
  }

  /** Sets the listener for changes of rate limits. */
  setLimitListener (listener: LimitListener): void {
    this.limitListener = listener
  }

  start (): void {
    this.leases.start()
    this.timer = setInterval(() => this.removeGone(), SWEEP_MS)
  }

  stop (): void {
    this.leases.stop()
    clearInterval(this.timer)
  }

  /** Returns the endpoints of a service that accept requests, in the order in which they became known. */
  usable (service: string): readonly EndpointState[] {
    return this.pool(service).members.items
  }

  /** Returns the same endpoints as a pool, for a choice that cannot check each of them. */
  pool (service: string): EndpointPool {
    return this.index.pool(service)
  }

  /** Updates the reserved engines from the requests in flight, within the data centres that may receive requests. Called at each tick. */
  reserveEngines (isDataCentreAllowed: (dataCentre: string) => boolean): void {
    for (const { name, engine } of this.table?.document.services ?? []) {
      if (engine === undefined) continue
      this.reserved.updateFromPool(
        name, this.pool(name), { isDataCentreAllowed, regionOf: (dataCentre) => this.regions.regionOf(dataCentre) }
      )
    }
  }

  /** Returns the endpoints that have requests of this entry in flight, or whose state is still to be reported. */
  busy (): ReadonlySet<EndpointState> {
    return this.index.busy
  }

  /** Returns the endpoints to check in this tick: all busy ones, and the next batch of the others. */
  nextScanBatch (now: number): ScanItem[] {
    this.index.removeIdle(now)
    const { busy } = this.index
    const ticks = Math.max(1, Math.ceil(this.endpoints.size / SCAN_SIZE))
    const others = this.nextOthers(Math.min(SCAN_SIZE, this.endpoints.size)).filter((endpoint) => !busy.has(endpoint))
    return [...[...busy].map((endpoint) => ({ endpoint, ticks: 1 })), ...others.map((endpoint) => ({ endpoint, ticks }))]
  }

  private nextOthers (count: number): EndpointState[] {
    const others: EndpointState[] = []
    while (others.length < count) {
      this.scan ??= this.endpoints.values()
      const { done, value } = this.scan.next()
      if (done !== true) others.push(value)
      else this.scan = undefined
    }
    return others
  }

  /** Whether an endpoint accepts requests, as far as this process knows. */
  acceptsRequests (incarnation: string): boolean {
    return this.endpoints.get(incarnation)?.hasEnded === false && this.leases.isUsable(incarnation)
  }

  /** Returns every endpoint that has a lease or requests in flight. Copies the list, so call it neither per request nor per tick. */
  all (): EndpointState[] {
    return [...this.endpoints.values()]
  }

  get (incarnation: string): EndpointState | undefined {
    return this.endpoints.get(incarnation)
  }

  get endpointCount (): number {
    return this.endpoints.size
  }

  /** The age of the last report on an endpoint, in ms; -1 if it has no lease. */
  leaseAgeMs (incarnation: string): number {
    const lease = this.leases.get(incarnation)
    return lease === undefined ? -1 : Math.round(performance.now() - lease.receivedAt)
  }

  /** The time since the current document was applied, in ms. */
  get documentAgeMs (): number {
    return Math.round(performance.now() - this.documentAt)
  }

  /** Resolves at the next change or after the given time. At a change, waiters of lower rank are woken first. */
  async waitForChange (ms: number, rank = -Infinity): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.waiters.delete(waiter)
        resolve()
      }
      const waiter: Waiter = { rank, done }
      const timer = setTimeout(done, ms)
      this.waiters.add(waiter)
    })
  }

  private documentChanged (): void {
    const { store, format, logger } = this.options
    const text = store.records.text(DOCUMENT_KEY)
    if (text === undefined) return
    const stored = JSON.parse(text) as StoredDocument
    if (this.table !== undefined && stored.version <= this.table.version) return
    format.parse(stored.text).caseOf({
      Left: (errors) => {
        const why = `version ${stored.version} cannot be read: ${errors[0]?.keyPath ?? ''} ${errors[0]?.found ?? ''}`
        logger.error({ channel: 'configuration', event: 'ignored', revision: store.revision, why })
      },
      Right: (document) => {
        const before = this.table?.version
        this.table = new RouteTable({ ...document, version: stored.version })
        this.reserved.keepOnly({ routes: namesOf(document.routes), services: namesOf(document.services) })
        this.documentAt = performance.now()
        this.updateMemory()
        const why = `document version ${stored.version}, previous version ${before ?? 'none'}, ${document.routes.length} routes`
        logger.info({ channel: 'configuration', event: 'applied', revision: store.revision, why })
      }
    })
    this.wake()
  }

  private leasesChanged (changed: readonly KnownLease[]): void {
    for (const lease of changed) {
      if (lease.state === 'gone') continue
      const known = this.endpoints.get(lease.incarnation)
      if (known === undefined) this.endpoints.set(lease.incarnation, new EndpointState(lease, this.memoryTokens(lease.service), this.index))
      else known.description = lease
      this.updateUsable(lease.incarnation)
    }
    this.wake()
  }

  private updateUsable (incarnation: string): void {
    const endpoint = this.endpoints.get(incarnation)
    if (endpoint === undefined) return
    this.index.setUsable(endpoint, this.acceptsRequests(incarnation))
    const isGone = (this.leases.get(incarnation)?.state ?? 'gone') === 'gone'
    if (isGone) this.limitListener?.forget(incarnation)
    if (isGone) this.gone.add(incarnation)
    else this.gone.delete(incarnation)
  }

  /** Sets the memory of engines from the document, since leases may arrive before it. */
  private updateMemory (): void {
    for (const endpoint of this.endpoints.values()) {
      endpoint.memoryTokens = this.memoryTokens(endpoint.description.service) ?? endpoint.memoryTokens
    }
  }

  private memoryTokens (service: string): number | undefined {
    return this.table?.service(service)?.engine?.memoryTokens
  }

  /** Removes endpoints that are gone and have no requests in flight. */
  removeGone (): void {
    for (const incarnation of this.gone) {
      const endpoint = this.endpoints.get(incarnation)
      if (endpoint === undefined || endpoint.inFlight > 0) continue
      this.gone.delete(incarnation)
      this.endpoints.delete(incarnation)
      this.index.forget(endpoint)
      this.options.connections.forget(incarnation)
    }
  }

  /** Wakes all requests that wait for a change, those of lower rank first. */
  wake (): void {
    if (this.waiters.size === 0) return
    for (const { done } of [...this.waiters].sort((left, right) => left.rank - right.rank)) done()
  }
}

function namesOf (items: ReadonlyArray<{ name: string }>): Set<string> {
  return new Set(items.map(({ name }) => name))
}
