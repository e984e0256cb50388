/** The links of entries to this sidecar, and the HTTP server on which their attempts arrive. */
import { type EndpointDescription, type EndpointLoad } from '@gullwall/core.types'
import { AttemptRunner } from '@gullwall/sidecar.attempts'
import { ATTEMPT_PREFIX } from '@gullwall/transport.attempt'
import { HttpServer, Koa } from '@gullwall/transport.http-server'
import { LinkAcceptor, type Link } from '@gullwall/transport.link'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { type SidecarServices } from './index.ts'

/** Minimum time between two load reports to an entry, in ms. */
const MIN_REPORT_INTERVAL_MS = 50
const SPARE_TOLERANCE = 0.25
const GAP_CHANGE_FACTOR = 1.4
/** Interval at which all loads are reported, whether they have changed or not, in ms. */
const FULL_REPORT_INTERVAL_MS = 10_000

export class EntryLinks {
  isLeaving = false
  address = ''
  private readonly http: HttpServer
  private acceptor: LinkAcceptor | undefined
  /** Open links by the start id of the entry. */
  private readonly byEntry = new Map<string, Link>()
  private readonly changedEndpoints = new Set<string>()
  private readonly lastReported = new Map<string, EndpointLoad>()
  private reportTimer: NodeJS.Timeout | undefined
  private fullReportTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: SidecarServices) {
    this.http = new HttpServer(this.createApp())
  }

  get linkCount (): number {
    return this.byEntry.size
  }

  async start (): Promise<void> {
    const { settings, startId, logger, store } = this.services
    this.acceptor = new LinkAcceptor(this.http.server, {
      local: { role: 'sidecar', name: settings.box, startId, dataCentre: settings.dataCentre },
      sharedKey: settings.linkKey,
      logger,
      revision: () => store.revision,
      onOpen: (link) => this.handleOpen(link),
      onMessage: (link, message) => this.receive(link, message),
      onRequest: (_link, message) => this.handleRequest(message),
      onClose: (link) => this.handleClose(link)
    })
    this.address = await this.http.listen(settings.listen)
    this.fullReportTimer = setInterval(() => this.reportAll(), FULL_REPORT_INTERVAL_MS)
  }

  async stop (): Promise<void> {
    clearTimeout(this.reportTimer)
    clearInterval(this.fullReportTimer)
    const closed = this.http.close()
    this.acceptor?.stop()
    await closed
  }

  /** Announces to all entries that this box accepts no new attempts. */
  startLeaving (): void {
    this.isLeaving = true
    for (const [entry, link] of this.byEntry) {
      this.services.book.removeEntry(entry)
      this.sendEndpoints(link)
    }
  }

  /** Sends all entries the endpoints that accept attempts. */
  publishEndpoints (): void {
    for (const link of this.byEntry.values()) this.sendEndpoints(link)
  }

  /** Waits until the running attempts have ended. */
  waitForAttempts (): Promise<void> {
    return this.http.drained()
  }

  sendOffer (entry: string, message: MessageOf<'offer'>): boolean {
    return this.byEntry.get(entry)?.send(message) ?? false
  }

  /** Schedules a report of the load of an endpoint. Changes until then are reported together. */
  scheduleLoadReport (endpoint: string): void {
    this.changedEndpoints.add(endpoint)
    this.reportTimer ??= setTimeout(() => {
      this.reportTimer = undefined
      this.reportChanged()
    }, MIN_REPORT_INTERVAL_MS)
  }

  private createApp (): Koa {
    const { startId, endpoints, attempts, crashes, logger } = this.services
    const runner = new AttemptRunner({ startId, endpoints, registry: attempts, crashes, logger, isLeaving: () => this.isLeaving })
    const app = new Koa()
    app.silent = true
    app.use(async (context) => {
      if (context.path.startsWith(`${ATTEMPT_PREFIX}/`)) await runner.handle(context)
    })
    return app
  }

  private handleOpen (link: Link): void {
    this.byEntry.set(link.peer.startId, link)
    this.services.spreader.opened(link)
    this.sendEndpoints(link)
    link.send({ kind: 'load', endpoints: [...this.services.endpoints.values()].map(({ slots }) => slots.load()) })
  }

  private handleClose (link: Link): void {
    this.services.spreader.closed(link)
    if (this.byEntry.get(link.peer.startId) !== link) return
    this.byEntry.delete(link.peer.startId)
    this.services.book.removeEntry(link.peer.startId)
  }

  private receive (link: Link, message: Message): void {
    const { spreader, book, endpoints } = this.services
    if (spreader.receive(link, message)) return
    switch (message.kind) {
      case 'demand':
        if (this.isLeaving) break
        book.updateDemand(link.peer.startId, message.rows)
        this.offerEverywhere()
        break
      case 'pass':
        for (const { slots } of endpoints.values()) slots.declineOffer(message.offerId)
        break
      case 'preempt':
        endpoints.get(message.endpoint)?.slots.preempt(link.peer.startId, message.class, message.tier)
        break
    }
  }

  private async handleRequest (message: Message): Promise<Message> {
    if (message.kind !== 'revoke') return { kind: 'failed', code: 'ERR_GULLWALL_NO_REQUESTS', message: `no answer to ${message.kind}` }
    return { kind: 'revoked', state: this.services.attempts.revoke(message.attemptId) }
  }

  private offerEverywhere (): void {
    for (const { slots } of this.services.endpoints.values()) slots.offerFree()
  }

  private sendEndpoints (link: Link): void {
    const staying = [...this.services.endpoints.values()].filter(({ slots }) => !slots.isDraining)
    const endpoints: EndpointDescription[] = staying.map(({ local: { name, kind, serves, labels } }) => ({ name, kind, serves, labels }))
    link.send({ kind: 'endpoints', endpoints, leaving: this.isLeaving })
  }

  private reportAll (): void {
    this.send(this.loadsOf(this.services.endpoints.keys()))
  }

  private reportChanged (): void {
    const loads = this.loadsOf(this.changedEndpoints)
    this.changedEndpoints.clear()
    this.send(loads.filter((load) => isSignificantChange(load, this.lastReported.get(load.name))))
  }

  private loadsOf (names: Iterable<string>): EndpointLoad[] {
    return [...names].flatMap((name) => this.services.endpoints.get(name)?.slots.load() ?? [])
  }

  private send (endpoints: EndpointLoad[]): void {
    if (endpoints.length === 0) return
    for (const load of endpoints) this.lastReported.set(load.name, load)
    for (const link of this.byEntry.values()) link.send({ kind: 'load', endpoints })
  }
}

/**
 * Whether the load of an endpoint differs enough from the last reported one. The number of free slots need not be exact, since a sidecar
 * rejects attempts for which it has no slot.
 */
function isSignificantChange (load: EndpointLoad, before: EndpointLoad | undefined): boolean {
  if (before === undefined) return true
  const isSameLimit = load.limit === before.limit && load.preemptableTier === before.preemptableTier
  if ((load.backOffMs ?? 0) > (before.backOffMs ?? 0) || (load.backOffMs === 0) !== (before.backOffMs === 0)) return true
  if (!isSameLimit || load.failuresInRow !== before.failuresInRow || (load.spare === 0) !== (before.spare === 0)) return true
  return Math.abs(load.spare - before.spare) > load.limit * SPARE_TOLERANCE || hasGapChanged(load.tokenGapMs, before.tokenGapMs)
}

function hasGapChanged (now: number, before: number): boolean {
  return now > before * GAP_CHANGE_FACTOR || before > now * GAP_CHANGE_FACTOR
}
