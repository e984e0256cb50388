/** The gateway: an entry that connects to endpoints directly. This module registers its services. */
import { nativeFormat, type DocumentFormat } from '@gullwall/config.document'
import { type GatewaySettings } from '@gullwall/config.settings'
import { RevisionStore, Spreader } from '@gullwall/config.spread'
import { newStartId } from '@gullwall/core.ids'
import { Kernel } from '@gullwall/core.kernel'
import { createLogger, type Logger } from '@gullwall/core.logger'
import { type Registry } from '@gullwall/core.metrics'
import { DEFAULT_WEIGHTS, OutputEstimate, RetryBudget, type ChoiceWeights } from '@gullwall/routing.balancer'
import { allowedRegions } from './allowed-regions.ts'
import { GatewayAdmin, gatewayRegistry } from './admin.ts'
import { ColdEngines } from './cold-engines.ts'
import { Connections } from './connections.ts'
import { ControlLinks } from './control-links.ts'
import { DeploymentView } from './deployment-view.ts'
import { type CallDialect } from './dialect.ts'
import { type EligibilityRules } from './eligibility.ts'
import { EndpointLimits } from './endpoint-limits.ts'
import { EndpointNotices } from './endpoint-notices.ts'
import { EvacuatedPlaces } from './evacuated-places.ts'
import { GrantPurse } from './grant-purse.ts'
import { Ingress } from './ingress.ts'
import { gatewayMetrics, type GatewayMetrics } from './metrics.ts'
import { nativeDialect } from './native-dialect.ts'
import { Quarantine } from './quarantine.ts'
import { RegionCrossings } from './region-crossings.ts'
import { UsageTeller } from './usage-teller.ts'
import { WorkExchange } from './work-exchange.ts'

export * from './dialect.ts'
export { nativeDialect } from './native-dialect.ts'
export { EventCutter } from './events.ts'
export { EvacuatedPlaces } from './evacuated-places.ts'
export { AttemptHistory } from './attempt-history.ts'
export { type Call } from './call.ts'
export { chooseEndpoint } from './endpoint-choice.ts'
export { WorkExchange } from './work-exchange.ts'

export interface GatewayServices {
  settings: GatewaySettings
  startId: string
  /** When this process created its services, by the monotonic clock. */
  startedAt: number
  logger: Logger
  registry: Registry
  metrics: GatewayMetrics
  format: DocumentFormat
  dialect: CallDialect
  weights: ChoiceWeights
  store: RevisionStore
  spreader: Spreader
  connections: Connections
  crossings: RegionCrossings
  view: DeploymentView
  evacuatedPlaces: EvacuatedPlaces
  grantPurse: GrantPurse
  coldEngines: ColdEngines
  limits: EndpointLimits
  eligibility: EligibilityRules
  budget: RetryBudget
  outputs: OutputEstimate
  controlLinks: ControlLinks
  workExchange: WorkExchange
  usage: UsageTeller
  quarantine: Quarantine
  notices: EndpointNotices
  ingress: Ingress
  admin: GatewayAdmin
}

export interface GatewayOptions {
  /** Writes a log line. */
  write?: (line: string) => void
  /** The headers that callers and endpoints use; gullwall's own headers by default. */
  dialect?: CallDialect
  format?: DocumentFormat
  weights?: Partial<ChoiceWeights>
}

/** Creates a gateway; nothing runs until its kernel is started. */
export function createGateway (settings: GatewaySettings, options: GatewayOptions = {}): Kernel<GatewayServices> {
  return new Kernel<GatewayServices>({ stopDeadlineMs: settings.graceMs })
    .value('settings', settings)
    .value('startId', newStartId())
    .value('startedAt', performance.now())
    .value('logger', createLogger({ program: 'gullwall-gateway', box: settings.box, level: settings.logLevel, write: options.write }))
    .value('format', options.format ?? nativeFormat)
    .value('dialect', options.dialect ?? nativeDialect)
    .value('weights', { ...DEFAULT_WEIGHTS, ...options.weights })
    .service('registry', () => gatewayRegistry())
    .service('metrics', ({ registry }) => gatewayMetrics(registry))
    .service('store', ({ logger }) => new RevisionStore({ logger }))
    .service('spreader', ({ store }) => new Spreader(store, { takes: true }))
    .service('connections', ({ crossings }) => new Connections((dataCentre, tookMs) => crossings.connected(dataCentre, tookMs)))
    .service('view', (services) => new DeploymentView(services))
    .service('crossings', (services) => new RegionCrossings(services))
    .service('evacuatedPlaces', (services) => new EvacuatedPlaces(services))
    .service('grantPurse', () => new GrantPurse())
    .service('coldEngines', createColdEngines)
    .service('limits', createLimits)
    .service('eligibility', createEligibility)
    .service('budget', (services) => createBudget(services))
    .service('outputs', () => new OutputEstimate())
    .service('controlLinks', (services) => new ControlLinks(services))
    .service('workExchange', (services) => new WorkExchange(services))
    .service('usage', (services) => new UsageTeller(services))
    .service('quarantine', (services) => new Quarantine(services))
    .service('notices', (services) => new EndpointNotices(services))
    .service('admin', (services) => new GatewayAdmin(services))
    .service('ingress', (services) => new Ingress(services))
}

function createBudget ({ settings, view }: GatewayServices): RetryBudget {
  return new RetryBudget({
    ratio: settings.retryRatio, windowMs: settings.retryWindowMs, slack: settings.retrySlack, entries: () => view.entries
  })
}

function createEligibility (services: GatewayServices): EligibilityRules {
  const { evacuatedPlaces, coldEngines, limits, notices } = services
  // What an endpoint reported before its data centre was evacuated may no longer be true.
  evacuatedPlaces.onWithdrawn((dataCentre) => coldEngines.assumeCold(dataCentre))
  return { places: [evacuatedPlaces.rule, allowedRegions(services)], endpoints: [notices.rule, coldEngines.rule, limits.rule] }
}

function createColdEngines (services: GatewayServices): ColdEngines {
  const { settings, logger, view } = services
  return new ColdEngines({
    box: settings.box,
    logger,
    leaseOf: (incarnation) => view.leases.get(incarnation),
    limitOf: (service) => view.table?.service(service)?.coldLimit,
    endpoints: () => view.all(),
    entries: () => view.entries,
    ask: async (wishes) => await services.controlLinks.askGrants(wishes),
    wake: () => view.wake(),
    purse: services.grantPurse,
    namedLimitOf: (incarnation) => services.limits.limitOf(incarnation)
  })
}

function createLimits (services: GatewayServices): EndpointLimits {
  const { logger, view, coldEngines, grantPurse } = services
  const limits = new EndpointLimits({
    logger,
    ask: async (wishes) => await services.controlLinks.askGrants(wishes),
    wake: () => view.wake(),
    now: () => performance.now(),
    purse: grantPurse,
    entries: () => view.entries,
    isCold: (endpoint) => coldEngines.isCold(endpoint),
    onOver: (incarnation) => coldEngines.noteReopened(incarnation)
  })
  view.onLimits(limits)
  return limits
}
