/** What this process believes of the deployment: the document in force and the endpoints that hold a lease. */
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

/** Told of an endpoint that has named another limit, or none any more, and of one that is gone. */
export interface LimitListener {
  recordLimit: (lease: KnownLease) => void
  forget: (incarnation: string) => void
}

/** How often endpoints that are gone are forgotten, in ms. */
const SWEEP_MS = 1000
/** So many endpoints without work are looked at in one turn: all of a small fleet, and 12,000 in 47 turns of 60 ms. */
const TURN_ENDPOINTS = 256

/** An endpoint that is looked at in this turn, and for how many turns it stands. */
export interface ScanItem {
  endpoint: EndpointState
  ticks: number
}

/** A request that waits for a change. */
interface Waiter {
  rank: number
  done: () => void
}

export class DeploymentView {
  /** The document in force; none before the first. */
  table: RouteTable | undefined
  /** How many entries share the deployment's budgets, as control counts them. */
  entryCount = 1
  readonly leases: LeaseTable
  /** Engines that are kept free of long reads. */
  readonly reserved = new ReservedEngines()
  private readonly regions: Regions
  private documentAt = -Infinity
  /** What a choice looks up. */
  readonly index = new EndpointIndex()
  private readonly endpoints = new Map<string, EndpointState>()
  /** Endpoints without a lease, or whose lease is gone: they are forgotten once nothing runs there. */
  private readonly leaving = new Set<string>()
  private rotation: Iterator<EndpointState> | undefined
  private readonly waiters = new Set<Waiter>()
  private timer: NodeJS.Timeout | undefined
  private limitListener: LimitListener | undefined

  constructor (private readonly options: DeploymentViewOptions) {
    this.regions = new Regions(options.settings.regions)
    this.leases = new LeaseTable({
      logger: options.logger,
      onChange: (changed) => this.leasesChanged(changed),
      onLimit: (lease) => this.limitListener?.recordLimit(lease),
      onTouched: (incarnation) => this.noteUsable(incarnation)
    })
    options.store.onChange(() => this.documentChanged())
  }

  /** Sets who is told of limits. */
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

  /** The endpoints of a service that take new work, in the order in which they became known. */
  usable (service: string): readonly EndpointState[] {
    return this.pool(service).members.items
  }

  /** The same, for a choice that can't look at each of them. */
  pool (service: string): EndpointPool {
    return this.index.pool(service)
  }

  /** Reserves engines anew in the data centres that may have work, from what runs now; called at even intervals. */
  reserveEngines (mayGoTo: (dataCentre: string) => boolean): void {
    for (const { name, engine } of this.table?.document.services ?? []) {
      if (engine === undefined) continue
      this.reserved.updateFromPool(
        name, this.pool(name), { isDataCentreAllowed: mayGoTo, regionOf: (dataCentre) => this.regions.regionOf(dataCentre) }
      )
    }
  }

  /** Endpoints with work of this entry, or of which there is something to tell. */
  busy (): ReadonlySet<EndpointState> {
    return this.index.busy
  }

  /** The endpoints to look at in this turn: those with work of this entry, and some of the others, each in its time. */
  nextScanBatch (now: number): ScanItem[] {
    this.index.removeIdle(now)
    const { busy } = this.index
    const turns = Math.max(1, Math.ceil(this.endpoints.size / TURN_ENDPOINTS))
    const others = this.nextOthers(Math.min(TURN_ENDPOINTS, this.endpoints.size)).filter((endpoint) => !busy.has(endpoint))
    return [...[...busy].map((endpoint) => ({ endpoint, ticks: 1 })), ...others.map((endpoint) => ({ endpoint, ticks: turns }))]
  }

  private nextOthers (count: number): EndpointState[] {
    const others: EndpointState[] = []
    while (others.length < count) {
      this.rotation ??= this.endpoints.values()
      const { done, value } = this.rotation.next()
      if (done !== true) others.push(value)
      else this.rotation = undefined
    }
    return others
  }

  /** Whether an endpoint takes new work now, as far as this process knows. */
  acceptsRequests (incarnation: string): boolean {
    return this.endpoints.get(incarnation)?.hasEnded === false && this.leases.isUsable(incarnation)
  }

  /** Every endpoint with work or a lease; not for what happens with each request or turn, since it is made anew. */
  all (): EndpointState[] {
    return [...this.endpoints.values()]
  }

  get (incarnation: string): EndpointState | undefined {
    return this.endpoints.get(incarnation)
  }

  get endpointCount (): number {
    return this.endpoints.size
  }

  /** How old this process's word of an endpoint is, in ms. */
  leaseAgeMs (incarnation: string): number {
    const lease = this.leases.get(incarnation)
    return lease === undefined ? -1 : Math.round(performance.now() - lease.receivedAt)
  }

  /** How long the document in force has been in force here, in ms. */
  get documentAgeMs (): number {
    return Math.round(performance.now() - this.documentAt)
  }

  /** Resolves at the next change, or when the time has passed; of those who wait, the ones of lower rank look first. */
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
      Left: (mistakes) => {
        const why = `version ${stored.version} can't be read: ${mistakes[0]?.keyPath ?? ''} ${mistakes[0]?.found ?? ''}`
        logger.error({ channel: 'configuration', event: 'ignored', revision: store.revision, why })
      },
      Right: (document) => {
        const before = this.table?.version
        this.table = new RouteTable({ ...document, version: stored.version })
        this.reserved.keepOnly({ routes: namesOf(document.routes), services: namesOf(document.services) })
        this.documentAt = performance.now()
        this.noteMemory()
        const why = `document version ${stored.version}, before ${before ?? 'none'}, ${document.routes.length} routes`
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
      this.noteUsable(lease.incarnation)
    }
    this.wake()
  }

  private noteUsable (incarnation: string): void {
    const endpoint = this.endpoints.get(incarnation)
    if (endpoint === undefined) return
    this.index.setUsable(endpoint, this.acceptsRequests(incarnation))
    const isGone = (this.leases.get(incarnation)?.state ?? 'gone') === 'gone'
    if (isGone) this.limitListener?.forget(incarnation)
    if (isGone) this.leaving.add(incarnation)
    else this.leaving.delete(incarnation)
  }

  /** Leases may come before the document that says how much memory engines have. */
  private noteMemory (): void {
    for (const endpoint of this.endpoints.values()) {
      endpoint.memoryTokens = this.memoryTokens(endpoint.description.service) ?? endpoint.memoryTokens
    }
  }

  private memoryTokens (service: string): number | undefined {
    return this.table?.service(service)?.engine?.memoryTokens
  }

  /** Forgets endpoints that are gone and have no work left; called at even intervals. */
  removeGone (): void {
    for (const incarnation of this.leaving) {
      const endpoint = this.endpoints.get(incarnation)
      if (endpoint === undefined || endpoint.inFlight > 0) continue
      this.leaving.delete(incarnation)
      this.endpoints.delete(incarnation)
      this.index.forget(endpoint)
      this.options.connections.forget(incarnation)
    }
  }

  /** Has whoever waits for a change look again. */
  wake (): void {
    if (this.waiters.size === 0) return
    for (const { done } of [...this.waiters].sort((left, right) => left.rank - right.rank)) done()
  }
}

function namesOf (items: ReadonlyArray<{ name: string }>): Set<string> {
  return new Set(items.map(({ name }) => name))
}
