/** The sidecar program. This module registers its services. */
import { Kernel } from '@gullwall/core.kernel'
import { IdSequence, newStartId } from '@gullwall/core.ids'
import { createLogger, type Logger } from '@gullwall/core.logger'
import { createRegistry } from '@gullwall/core.metrics'
import { type SidecarSettings } from '@gullwall/config.settings'
import { RevisionStore, Spreader } from '@gullwall/config.spread'
import { ControlClient } from '@gullwall/control.client'
import { AttemptRegistry } from '@gullwall/sidecar.attempts'
import { ReservationBook } from '@gullwall/routing.reservations'
import { createAdminServer, type HttpServer } from '@gullwall/transport.http-server'
import { linkMetrics } from '@gullwall/transport.link'
import { type Member } from '@gullwall/transport.messages'
import { createServedEndpoints, ReportPoller, type EndpointTable } from './endpoints.ts'
import { EngineCrashes } from './engine-crashes.ts'
import { EngineNotices } from './engine-notices.ts'
import { EntryLinks } from './entry-links.ts'
import { sidecarMetrics } from './metrics.ts'

export interface SidecarServices {
  settings: SidecarSettings
  startId: string
  logger: Logger
  store: RevisionStore
  spreader: Spreader
  book: ReservationBook
  attempts: AttemptRegistry
  endpoints: EndpointTable
  reports: ReportPoller
  entryLinks: EntryLinks
  control: ControlClient
  crashes: EngineCrashes
  notices: EngineNotices
  admin: SidecarAdmin
  departure: Departure
}

export interface SidecarOptions {
  /** Writes a log line. */
  write?: (line: string) => void
  startId?: string
}

/** Creates a sidecar; nothing runs until its kernel is started. */
export function createSidecar (settings: SidecarSettings, options: SidecarOptions = {}): Kernel<SidecarServices> {
  const startId = options.startId ?? newStartId()
  const kernel = new Kernel<SidecarServices>()
  return kernel
    .value('settings', settings)
    .value('startId', startId)
    .value('logger', createLogger({ program: 'gullwall-sidecar', box: settings.box, level: settings.logLevel, write: options.write }))
    .value('book', new ReservationBook())
    .value('attempts', new AttemptRegistry())
    .service('store', ({ logger }) => new RevisionStore({ logger }))
    .service('spreader', ({ store }) => new Spreader(store, { takes: true }))
    .service('endpoints', (services) => createServedEndpoints({
      settings, book: services.book, offerIds: new IdSequence(startId, 'o'), notices: services.notices, links: () => services.entryLinks
    }))
    .service('notices', (services) => new EngineNotices(services))
    .service('reports', (services) => new ReportPoller(services))
    .service('entryLinks', (services) => new EntryLinks(services))
    .service('control', (services) => createControlClient(services))
    .service('crashes', (services) => new EngineCrashes(services))
    .service('admin', (services) => new SidecarAdmin(services))
    .service('departure', (services) => new Departure(services))
}

function createControlClient (services: SidecarServices): ControlClient {
  const { settings, startId, logger, store, spreader, entryLinks, endpoints } = services
  const announcement = (): Member => ({
    box: settings.box,
    dataCentre: settings.dataCentre,
    startId,
    address: entryLinks.address,
    leaving: entryLinks.isLeaving,
    serves: [...new Set([...endpoints.values()].map(({ local }) => local.serves))]
  })
  const local = { role: 'sidecar' as const, name: settings.box, startId, dataCentre: settings.dataCentre }
  return new ControlClient({
    local,
    sharedKey: settings.linkKey,
    addresses: settings.control,
    logger,
    store,
    spreader,
    announcement,
    onSuspectParts: (link, message) => services.crashes.parts.receiveSuspects(link, message),
    onClose: (link) => services.crashes.parts.forgetLink(link)
  })
}

/**
 * Announces at the start of a planned stop that this box accepts no new attempts. It is registered last, so that it is the first service to
 * stop.
 */
export class Departure {
  constructor (private readonly services: Pick<SidecarServices, 'entryLinks' | 'control' | 'logger'>) {}

  start (): void {
    const { entryLinks, logger } = this.services
    logger.info({ channel: 'process', event: 'started', address: entryLinks.address, why: 'serving' })
  }

  async stop (): Promise<void> {
    const { entryLinks, control, logger } = this.services
    logger.info({ channel: 'process', event: 'stopping', why: 'asked to' })
    entryLinks.startLeaving()
    control.announce()
    await entryLinks.waitForAttempts()
  }
}

/** Serves metrics, readiness and the state of the slots. */
export class SidecarAdmin {
  private server: HttpServer | undefined
  address = ''

  constructor (private readonly services: SidecarServices) {}

  async start (): Promise<void> {
    const { settings, endpoints, entryLinks, store, attempts, notices } = this.services
    const registry = createRegistry({ process: true })
    linkMetrics(registry)
    sidecarMetrics(registry, this.services)
    this.server = createAdminServer({
      registry,
      notReady: () => entryLinks.isLeaving ? 'leaving' : undefined,
      pages: {
        '/status': () => ({
          role: 'sidecar',
          box: settings.box,
          revision: store.revision,
          leaving: entryLinks.isLeaving,
          resting: notices.backoffs.listActive(),
          endpoints: [...endpoints.values()].map(({ slots }) => slots.load())
        }),
        '/attempts': () => ({ remembered: attempts.size })
      }
    })
    this.address = await this.server.listen(settings.admin)
  }

  async stop (): Promise<void> {
    await this.server?.close()
  }
}
