/** What this process believes of the deployment: the document in force and the endpoints that hold a lease. */
import { RouteTable, type DocumentFormat } from '@gullwall/config.document'
import { type RevisionStore } from '@gullwall/config.spread'
import { LeaseTable, type HeldLease } from '@gullwall/control.registry'
import { DOCUMENT_KEY, type StoredDocument } from '@gullwall/control.state'
import { type Logger } from '@gullwall/core.logger'
import { EndpointState, ReservedEngines } from '@gullwall/routing.balancer'
import { type Connections } from './connections.ts'

export interface DeploymentViewOptions {
  store: RevisionStore
  format: DocumentFormat
  logger: Logger
  connections: Connections
}

/** How often endpoints that are gone are forgotten, in ms. */
const SWEEP_MS = 1000

export class DeploymentView {
  /** The document in force; none before the first. */
  table: RouteTable | undefined
  /** How many entries share the deployment's budgets, as control counts them. */
  entries = 1
  readonly leases: LeaseTable
  /** Engines that are kept free of long reads. */
  readonly reserved = new ReservedEngines()
  private documentAt = -Infinity
  private readonly endpoints = new Map<string, EndpointState>()
  private readonly waiters = new Set<() => void>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: DeploymentViewOptions) {
    this.leases = new LeaseTable({ logger: options.logger, onChange: (changed) => this.leasesChanged(changed) })
    options.store.onChange(() => this.documentChanged())
  }

  start (): void {
    this.leases.start()
    this.timer = setInterval(() => this.forgetGone(), SWEEP_MS)
  }

  stop (): void {
    this.leases.stop()
    clearInterval(this.timer)
  }

  /** The endpoints of a service that take new work. */
  usable (service: string): EndpointState[] {
    return [...this.endpoints.values()].filter(({ description, hasEnded }) => (
      description.service === service && !hasEnded && this.leases.isUsable(description.incarnation)
    ))
  }

  /** Reserves engines anew, from what runs now; called at even intervals. */
  reserveEngines (): void {
    for (const { name, engine } of this.table?.document.services ?? []) {
      if (engine !== undefined) this.reserved.update(name, this.usable(name))
    }
  }

  /** Every endpoint with work or a lease. */
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
    return lease === undefined ? -1 : Math.round(performance.now() - lease.heardAt)
  }

  /** How long the document in force has been in force here, in ms. */
  get documentAgeMs (): number {
    return Math.round(performance.now() - this.documentAt)
  }

  /** Resolves at the next change, or when the time has passed. */
  async changeWithin (ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.waiters.delete(done)
        resolve()
      }
      const timer = setTimeout(done, ms)
      this.waiters.add(done)
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
        const why = `document version ${stored.version}, before ${before ?? 'none'}, ${document.routes.length} routes`
        logger.info({ channel: 'configuration', event: 'applied', revision: store.revision, why })
      }
    })
    this.wake()
  }

  private leasesChanged (changed: readonly HeldLease[]): void {
    for (const lease of changed) {
      if (lease.state === 'gone') continue
      const known = this.endpoints.get(lease.incarnation)
      if (known === undefined) this.endpoints.set(lease.incarnation, new EndpointState(lease, this.memoryTokens(lease.service)))
      else known.description = lease
    }
    this.wake()
  }

  private memoryTokens (service: string): number | undefined {
    return this.table?.service(service)?.engine?.memoryTokens
  }

  private forgetGone (): void {
    for (const [incarnation, endpoint] of this.endpoints) {
      const lease = this.leases.get(incarnation)
      if (endpoint.inFlight > 0 || (lease !== undefined && lease.state !== 'gone')) continue
      this.endpoints.delete(incarnation)
      this.options.connections.forget(incarnation)
    }
  }

  /** Has whoever waits for a change look again. */
  wake (): void {
    for (const waiter of [...this.waiters]) waiter()
  }
}

function namesOf (items: ReadonlyArray<{ name: string }>): Set<string> {
  return new Set(items.map(({ name }) => name))
}
