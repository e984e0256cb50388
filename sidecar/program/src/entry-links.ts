/** The links of entries to this sidecar, and the HTTP server on which their attempts arrive. */
import { type EndpointDescription, type EndpointLoad } from '@gullwall/core.types'
import { AttemptRunner } from '@gullwall/sidecar.attempts'
import { ATTEMPT_PREFIX } from '@gullwall/transport.attempt'
import { HttpServer, Koa } from '@gullwall/transport.http-server'
import { LinkAcceptor, type Link } from '@gullwall/transport.link'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { type SidecarServices } from './index.ts'

/** The least time between two load reports to an entry, in ms. */
const REPORT_MS = 50
const SPARE_TOLERANCE = 0.25
const GAP_MOVED_FACTOR = 1.4
/** How often everything is reported whether it has changed or not, in ms. */
const SLOW_REPORT_MS = 10_000

export class EntryLinks {
  isLeaving = false
  address = ''
  private readonly http: HttpServer
  private acceptor: LinkAcceptor | undefined
  /** Open links by the start id of the entry's process. */
  private readonly byEntry = new Map<string, Link>()
  private readonly changed = new Set<string>()
  private readonly reported = new Map<string, EndpointLoad>()
  private reportTimer: NodeJS.Timeout | undefined
  private slowTimer: NodeJS.Timeout | undefined

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
      onOpen: (link) => this.opened(link),
      onMessage: (link, message) => this.receive(link, message),
      onRequest: (_link, message) => this.answer(message),
      onClose: (link) => this.closed(link)
    })
    this.address = await this.http.listen(settings.listen)
    this.slowTimer = setInterval(() => this.reportAll(), SLOW_REPORT_MS)
  }

  async stop (): Promise<void> {
    clearTimeout(this.reportTimer)
    clearInterval(this.slowTimer)
    const closed = this.http.close()
    this.acceptor?.stop()
    await closed
  }

  /** Tells every entry that this box takes no new work. */
  leave (): void {
    this.isLeaving = true
    for (const [entry, link] of this.byEntry) {
      this.services.book.removeEntry(entry)
      this.sendEndpoints(link)
    }
  }

  /** Tells every entry which endpoints take work. */
  endpointsChanged (): void {
    for (const link of this.byEntry.values()) this.sendEndpoints(link)
  }

  /** Waits for the attempts that run. */
  drained (): Promise<void> {
    return this.http.drained()
  }

  sendTo (entry: string, message: MessageOf<'offer'>): boolean {
    return this.byEntry.get(entry)?.send(message) ?? false
  }

  /** Reports the load of an endpoint soon; calls in the meantime are joined. */
  loadChanged (endpoint: string): void {
    this.changed.add(endpoint)
    this.reportTimer ??= setTimeout(() => {
      this.reportTimer = undefined
      this.reportChanged()
    }, REPORT_MS)
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

  private opened (link: Link): void {
    this.byEntry.set(link.peer.startId, link)
    this.services.spreader.opened(link)
    this.sendEndpoints(link)
    link.send({ kind: 'load', endpoints: [...this.services.endpoints.values()].map(({ slots }) => slots.load()) })
  }

  private closed (link: Link): void {
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
        for (const { slots } of endpoints.values()) slots.pass(message.offerId)
        break
      case 'preempt':
        endpoints.get(message.endpoint)?.slots.preempt(link.peer.startId, message.class, message.tier)
        break
    }
  }

  private async answer (message: Message): Promise<Message> {
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
    const loads = this.loadsOf(this.changed)
    this.changed.clear()
    this.send(loads.filter((load) => isNews(load, this.reported.get(load.name))))
  }

  private loadsOf (names: Iterable<string>): EndpointLoad[] {
    return [...names].flatMap((name) => this.services.endpoints.get(name)?.slots.load() ?? [])
  }

  private send (endpoints: EndpointLoad[]): void {
    if (endpoints.length === 0) return
    for (const load of endpoints) this.reported.set(load.name, load)
    for (const link of this.byEntry.values()) link.send({ kind: 'load', endpoints })
  }
}

/** Whether a load tells an entry something new. Free slots are counted roughly: a sidecar may still say no. */
function isNews (load: EndpointLoad, before: EndpointLoad | undefined): boolean {
  if (before === undefined) return true
  const isSameLimit = load.limit === before.limit && load.preemptableTier === before.preemptableTier
  if ((load.backOffMs ?? 0) > (before.backOffMs ?? 0) || (load.backOffMs === 0) !== (before.backOffMs === 0)) return true
  if (!isSameLimit || load.failuresInRow !== before.failuresInRow || (load.spare === 0) !== (before.spare === 0)) return true
  return Math.abs(load.spare - before.spare) > load.limit * SPARE_TOLERANCE || hasMoved(load.tokenGapMs, before.tokenGapMs)
}

function hasMoved (now: number, before: number): boolean {
  return now > before * GAP_MOVED_FACTOR || before > now * GAP_MOVED_FACTOR
}
