/** The entry, put together from its services. */
import { Kernel } from '@gullwall/core.kernel'
import { IdSequence, newStartId } from '@gullwall/core.ids'
import { createLogger, type Logger } from '@gullwall/core.logger'
import { createRegistry, type Registry } from '@gullwall/core.metrics'
import { type EntrySettings } from '@gullwall/config.settings'
import { RevisionStore, Spreader } from '@gullwall/config.spread'
import { ControlClient } from '@gullwall/control.client'
import { DecisionLog } from '@gullwall/routing.decision-log'
import { Dispatcher } from '@gullwall/routing.dispatcher'
import { createBaseline } from '@gullwall/routing.policies'
import { EntryMetrics } from '@gullwall/entry.server'
import { CallerServer } from './caller-server.ts'
import { EntryAdmin } from './admin.ts'
import { SidecarLinks } from './sidecar-links.ts'

export interface EntryServices {
  settings: EntrySettings
  startId: string
  logger: Logger
  registry: Registry
  store: RevisionStore
  spreader: Spreader
  dispatcher: Dispatcher
  decisions: DecisionLog
  metrics: EntryMetrics
  sidecars: SidecarLinks
  control: ControlClient
  admin: EntryAdmin
  callers: CallerServer
}

export interface EntryOptions {
  /** Where log lines go. */
  write?: (line: string) => void
}

/** Builds an entry; nothing runs before its kernel is started. */
export function createEntry (settings: EntrySettings, options: EntryOptions = {}): Kernel<EntryServices> {
  const startId = newStartId()
  return new Kernel<EntryServices>()
    .value('settings', settings)
    .value('startId', startId)
    .value('registry', createRegistry({ process: true }))
    .value('logger', createLogger({ program: 'gullwall-entry', box: settings.box, level: settings.logLevel, write: options.write }))
    .service('store', ({ logger }) => new RevisionStore({ logger }))
    .service('spreader', ({ store }) => new Spreader(store, { takes: true }))
    .service('dispatcher', createDispatcher)
    .service('decisions', ({ logger }) => new DecisionLog({ logger }))
    .service('metrics', ({ registry, dispatcher }) => new EntryMetrics(registry, dispatcher))
    .service('sidecars', (services) => new SidecarLinks(services))
    .service('control', createControlClient)
    .service('admin', (services) => new EntryAdmin(services))
    .service('callers', (services) => new CallerServer(services, { requestIds: new IdSequence(startId, 'r'), attemptIds: new IdSequence(startId, 'a') }))
}

function createDispatcher ({ settings, store, logger }: EntryServices): Dispatcher {
  const dispatcher = new Dispatcher({
    dataCentre: settings.dataCentre,
    records: store.records,
    logger,
    maxQueued: settings.maxQueued,
    bindEarly: settings.policy === 'late-binding' ? undefined : createBaseline(settings.policy)
  })
  store.onChange(() => dispatcher.handleRecordsChange())
  return dispatcher
}

function createControlClient ({ settings, startId, logger, store, spreader, sidecars }: EntryServices): ControlClient {
  return new ControlClient({
    local: { role: 'entry', name: settings.box, startId, dataCentre: settings.dataCentre },
    sharedKey: settings.linkKey,
    addresses: settings.control,
    logger,
    store,
    spreader,
    onMembers: (message) => sidecars.update(message)
  })
}
