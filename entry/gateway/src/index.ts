/** The gateway: an entry that connects to endpoints directly. This module registers its services. */
import { nativeFormat, type DocumentFormat } from '@gullwall/config.document'
import { type GatewaySettings } from '@gullwall/config.settings'
import { RevisionStore, Spreader } from '@gullwall/config.spread'
import { suspensions } from '@gullwall/core.clock'
import { newStartId } from '@gullwall/core.ids'
import { Kernel } from '@gullwall/core.kernel'
import { createLogger, type Logger } from '@gullwall/core.logger'
import { type Registry } from '@gullwall/core.metrics'
import { DEFAULT_WEIGHTS, OutputLengthEstimator, RetryBudgets, type ChoiceWeights } from '@gullwall/routing.balancer'
import { createAllowedRegionsRule } from './allowed-regions.ts'
import { GatewayAdmin, createGatewayRegistry } from './admin.ts'
import { ColdEndpoints } from './cold-endpoints.ts'
import { Connections } from './connections.ts'
import { ControlLinks } from './control-links.ts'
import { DeploymentView } from './deployment-view.ts'
import { type CallDialect } from './dialect.ts'
import { type EligibilityRules } from './eligibility.ts'
import { EndpointLimits } from './endpoint-limits.ts'
import { EndpointNotices } from './endpoint-notices.ts'
import { EvacuatedDataCentres } from './evacuated-data-centres.ts'
import { GrantPool } from './grant-pool.ts'
import { Ingress } from './ingress.ts'
import { createGatewayMetrics, type GatewayMetrics } from './metrics.ts'
import { nativeDialect } from './native-dialect.ts'
import { Quarantine } from './quarantine.ts'
import { ResponseMemory } from './response-memory.ts'
import { ReturningCallers } from './returning-callers.ts'
import { CrossRegionTraffic } from './cross-region-traffic.ts'
import { StreamBuilds } from './stream-builds.ts'
import { createUtilizationMeter } from './utilization.ts'
import { UsageTracker } from './usage-tracker.ts'
import { LoadExchange } from './load-exchange.ts'

export * from './dialect.ts'
export { nativeDialect } from './native-dialect.ts'
export { EventSplitter } from './event-splitter.ts'
export { EvacuatedDataCentres } from './evacuated-data-centres.ts'
export { AttemptHistory } from './attempt-history.ts'
export { type Call } from './call.ts'
export { chooseEndpoint } from './endpoint-choice.ts'
export { LoadExchange } from './load-exchange.ts'

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
  /** Returns the share of the time since its last call in which this gateway was busy, from 0 to 1. */
  measureUtilization: () => number
  store: RevisionStore
  spreader: Spreader
  connections: Connections
  responseMemory: ResponseMemory
  crossRegionTraffic: CrossRegionTraffic
  view: DeploymentView
  evacuatedDataCentres: EvacuatedDataCentres
  grantPool: GrantPool
  coldEndpoints: ColdEndpoints
  limits: EndpointLimits
  eligibility: EligibilityRules
  streamBuilds: StreamBuilds
  retryBudgets: RetryBudgets
  returningCallers: ReturningCallers
  outputLengthEstimator: OutputLengthEstimator
  controlLinks: ControlLinks
  loadExchange: LoadExchange
  usageTracker: UsageTracker
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
  /**
   * Returns the share of the time since its last call in which this gateway was busy, from 0 to 1. By default that of the event loop,
   * which tells something only where the gateway has the process to itself.
   */
  measureUtilization?: () => number
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
    .value('measureUtilization', options.measureUtilization ?? createUtilizationMeter())
    .service('registry', () => createGatewayRegistry())
    .service('metrics', ({ registry }) => createGatewayMetrics(registry))
    .service('store', ({ logger }) => new RevisionStore({ logger }))
    .service('spreader', ({ store }) => new Spreader(store, { takes: true }))
    .service('responseMemory', () => new ResponseMemory())
    .service('connections', createConnections)
    .service('view', (services) => new DeploymentView(services))
    .service('crossRegionTraffic', (services) => new CrossRegionTraffic(services))
    .service('evacuatedDataCentres', (services) => new EvacuatedDataCentres(services))
    .service('grantPool', () => new GrantPool())
    .service('coldEndpoints', createColdEndpoints)
    .service('limits', createLimits)
    .service('eligibility', createEligibility)
    .service('streamBuilds', (services) => new StreamBuilds(services))
    .service('retryBudgets', createRetryBudgets)
    .service('returningCallers', () => new ReturningCallers())
    .service('outputLengthEstimator', () => new OutputLengthEstimator())
    .service('controlLinks', (services) => new ControlLinks(services))
    .service('loadExchange', (services) => new LoadExchange(services))
    .service('usageTracker', (services) => new UsageTracker(services))
    .service('quarantine', (services) => new Quarantine(services))
    .service('notices', (services) => new EndpointNotices(services))
    .service('admin', (services) => new GatewayAdmin(services))
    .service('ingress', (services) => new Ingress(services))
}

function createConnections ({ crossRegionTraffic, metrics, logger }: GatewayServices): Connections {
  return new Connections({
    onConnected: (dataCentre, tookMs) => crossRegionTraffic.recordConnected(dataCentre, tookMs),
    onUnsolicited: ({ incarnation, service }) => {
      metrics.endlessResponses.inc({ service, place: 'idle' })
      const why = 'idle: bytes came while no request waited for a response'
      logger.sampled('endless', { channel: 'endpoint', event: 'endless', endpoint: incarnation, why })
    }
  })
}

function createRetryBudgets (services: GatewayServices): RetryBudgets {
  const { settings } = services
  return new RetryBudgets({
    ratio: settings.retryRatio,
    windowMs: settings.retryWindowMs,
    slack: settings.retrySlack,
    entryCount: () => services.controlLinks.sharingEntryCount,
    suspendedMs: () => suspensions.suspendedMs()
  })
}

function createEligibility (services: GatewayServices): EligibilityRules {
  const { evacuatedDataCentres, streamBuilds, coldEndpoints, limits, notices } = services
  // What an endpoint reported before its data centre was evacuated may no longer be true.
  evacuatedDataCentres.onWithdrawn((dataCentre) => coldEndpoints.assumeCold(dataCentre))
  return {
    dataCentres: [evacuatedDataCentres.rule, createAllowedRegionsRule(services)],
    endpoints: [
      streamBuilds.rule,
      // The quarantine is created after the rules.
      (endpoint, call) => services.quarantine.parts.rule(endpoint, call),
      notices.rule,
      coldEndpoints.rule,
      limits.rule
    ]
  }
}

function createColdEndpoints (services: GatewayServices): ColdEndpoints {
  const { settings, logger, view } = services
  return new ColdEndpoints({
    box: settings.box,
    logger,
    leaseOf: (incarnation) => view.leases.get(incarnation),
    coldLimitOf: (service) => view.table?.service(service)?.coldLimit,
    endpoints: () => view.all(),
    entryCount: () => view.entryCount,
    requestGrants: async (requests) => await services.controlLinks.requestGrants(requests),
    wake: () => view.wake(),
    grantPool: services.grantPool,
    advertisedLimitOf: (incarnation) => services.limits.limitPerSecond(incarnation)
  })
}

function createLimits (services: GatewayServices): EndpointLimits {
  const { logger, view, coldEndpoints, grantPool } = services
  const limits = new EndpointLimits({
    logger,
    requestGrants: async (requests) => await services.controlLinks.requestGrants(requests),
    wake: () => view.wake(),
    now: () => performance.now(),
    grantPool,
    entryCount: () => view.entryCount,
    isCold: (endpoint) => coldEndpoints.isCold(endpoint),
    onLimitEnded: (incarnation) => coldEndpoints.recordReopened(incarnation)
  })
  view.setLimitListener(limits)
  return limits
}
