/** Assembles the control process from its services. */
import { Kernel } from '@gullwall/core.kernel'
import { newStartId } from '@gullwall/core.ids'
import { createLogger, type Logger } from '@gullwall/core.logger'
import { createRegistry } from '@gullwall/core.metrics'
import { type ControlSettings } from '@gullwall/config.settings'
import { RevisionStore, Spreader } from '@gullwall/config.spread'
import { LeaseTable } from '@gullwall/control.registry'
import { ControlState, heldPartsIn, type Leave } from '@gullwall/control.state'
import { QuorumNode } from '@gullwall/control.quorum'
import { FolderDisk, type Disk } from '@gullwall/control.storage'
import { createAdminServer, type HttpServer, type Koa } from '@gullwall/transport.http-server'
import { linkMetrics, type Link } from '@gullwall/transport.link'
import { nativeFormat, type DocumentFormat } from '@gullwall/config.document'
import { Granter } from './granter.ts'
import { CatchUp } from './catch-up.ts'
import { CrashEvaluator } from './crash-evaluator.ts'
import { ControlServer } from './control-server.ts'
import { Documents } from './documents.ts'
import { Evacuations } from './evacuations.ts'
import { Joiner } from './joiner.ts'
import { LeaseStore } from './lease-store.ts'
import { LeaveRecorder } from './leave-recorder.ts'
import { foundingOf, targetVoters } from './membership.ts'
import { Registrar } from './registrar.ts'
import { PartEvaluator } from './part-evaluator.ts'
import { Proximity, type PublishPriority } from './proximity.ts'
import { MemberTable } from './member-table.ts'
import { ControlPeers } from './peers.ts'
import { Proposer } from './proposer.ts'
import { addQuorumMetrics } from './quorum-metrics.ts'
import { type ScalingController } from './scaling-controller.ts'
import { type ScalingSink } from './scaling-sink.ts'
import { createScalingController } from './create-scaling-controller.ts'
import { UsageReporter } from './usage-reporter.ts'
import { type UsageSink } from './usage-sink.ts'
import { LoadRelay } from './load-relay.ts'
import { StreamBuilds } from './stream-builds.ts'

export { MAX_COMMAND_BYTES } from './proposer.ts'
export * from './order-caller.ts'
export * from './scaling-sink.ts'
export * from './usage-sink.ts'

/** Delay of a push to an entry, in ms. In the meantime a control process that is closer to the entry may push the same revision. */
const PUSH_DELAY_MS: Record<PublishPriority, number> = { first: 0, second: 250, last: 600 }

export interface ControlServices {
  settings: ControlSettings
  startId: string
  logger: Logger
  disk: Disk
  store: RevisionStore
  spreader: Spreader
  state: ControlState
  members: MemberTable
  peers: ControlPeers
  proximity: Proximity
  quorum: QuorumNode
  proposer: Proposer
  granter: Granter
  crashEvaluator: CrashEvaluator
  partEvaluator: PartEvaluator
  leases: LeaseTable
  leaveRecorder: LeaveRecorder
  leaseStore: LeaseStore
  catchUp: CatchUp
  registrar: Registrar
  loadRelay: LoadRelay
  streamBuilds: StreamBuilds
  documents: Documents
  evacuations: Evacuations
  joiner: Joiner
  server: ControlServer
  admin: ControlAdmin
  format: DocumentFormat
  /** Creates an HTTP interface that replaces the default operators' interface; undefined for the default. */
  api: OperatorApi | undefined
  usageReporter: UsageReporter
  /** Receives usage reports; undefined if usage is not reported. */
  usageSink: UsageSink | undefined
  scalingController: ScalingController
  /** Receives orders of endpoints; undefined if endpoints are not ordered. */
  scalingSink: ScalingSink | undefined
}

export type OperatorApi = (services: ControlServices) => Koa

export interface ControlOptions {
  /** Writes a log line. */
  write?: (line: string) => void
  /** Replaces the data folder of the settings, for tests and `dev`. */
  disk?: Disk
  api?: OperatorApi
  /** Parses the text of routing documents. The default is the native format; an adapter may provide another one. */
  format?: DocumentFormat
  usageSink?: UsageSink
  scalingSink?: ScalingSink
}

/** Builds a control process. Its services start when the kernel is started. */
export async function createControl (settings: ControlSettings, options: ControlOptions = {}): Promise<Kernel<ControlServices>> {
  const disk = options.disk ?? await FolderDisk.open(settings.dataFolder)
  return new Kernel<ControlServices>()
    .value('settings', settings)
    .value('startId', newStartId())
    .value('disk', disk)
    .value('logger', createLogger({ program: 'gullwall-control', box: settings.box, level: settings.logLevel, write: options.write }))
    .service('store', ({ logger }) => new RevisionStore({ logger }))
    .service('spreader', (services) => new Spreader(services.store, { takes: false, delayMs: (link) => pushDelayMs(link, services) }))
    .service('state', createState)
    .service('members', () => new MemberTable())
    .service('peers', (services) => new ControlPeers(services))
    .service('proximity', (services) => new Proximity(services))
    .value('format', options.format ?? nativeFormat)
    .value('api', options.api)
    .value('usageSink', options.usageSink)
    .value('scalingSink', options.scalingSink)
    .service('leases', createLeases)
    .service('registrar', (services) => new Registrar(services))
    .service('leaveRecorder', (services) => new LeaveRecorder(services))
    .service('leaseStore', (services) => new LeaseStore(services))
    .service('loadRelay', (services) => new LoadRelay(services))
    .service('streamBuilds', ({ leases }) => new StreamBuilds(() => leases.all()))
    .service('documents', (services) => new Documents(services))
    .service('evacuations', (services) => new Evacuations(services))
    .service('server', (services) => new ControlServer(services))
    .service('quorum', createQuorum)
    .service('proposer', (services) => new Proposer(services))
    .service('granter', (services) => new Granter(services))
    .service('crashEvaluator', (services) => new CrashEvaluator(services))
    .service('partEvaluator', (services) => new PartEvaluator(services))
    .service('usageReporter', (services) => new UsageReporter(services))
    .service('scalingController', createScalingController)
    .service('joiner', (services) => new Joiner(services))
    .service('catchUp', (services) => new CatchUp(services))
    .service('admin', (services) => new ControlAdmin(services))
}

function createState (services: ControlServices): ControlState {
  const { store } = services
  const state: ControlState = new ControlState({
    records: store.records,
    onAccepted: (revision, changes) => store.apply(revision, changes),
    onRestored: () => { store.replace(state.revision, [...state.records.entries()]) },
    onLeaves: (leaves) => recordLeaves(services, leaves)
  })
  return state
}

function recordLeaves ({ leases }: ControlServices, leaves: readonly Leave[]): void {
  const now = Date.now()
  for (const { at, ...leave } of leaves) leases.recordLeave({ ...leave, sinceMs: Math.max(0, now - at) })
}

/** Returns the delay of a push. Each entry is linked to every control process, and the processes close to it push first. */
function pushDelayMs (link: Link, { proximity }: ControlServices): number {
  return link.peer.role === 'entry' ? PUSH_DELAY_MS[proximity.getPublishPriority(link)] : 0
}

function createLeases (services: ControlServices): LeaseTable {
  return new LeaseTable({
    logger: services.logger,
    onChange: (changed) => {
      services.registrar.publishChanges(changed)
      services.streamBuilds.recordChanged(changed)
      services.leaseStore.requestSave()
    }
  })
}

function createQuorum ({ settings, disk, peers, state, logger }: ControlServices): QuorumNode {
  return new QuorumNode({
    member: settings.member,
    founding: foundingOf(settings),
    targetVoters: targetVoters(settings),
    disk,
    transport: peers,
    machine: state,
    logger,
    timing: {
      heartbeatMs: settings.quorumHeartbeatMs, electionMs: settings.quorumElectionMs, firstElectionShare: settings.firstElectionShare
    }
  })
}

/** Serves metrics, readiness and the state of the quorum. */
export class ControlAdmin {
  address = ''
  private http: HttpServer | undefined

  constructor (private readonly services: ControlServices) {}

  async start (): Promise<void> {
    const { settings, quorum, store, members, evacuations } = this.services
    const registry = createRegistry({ process: true })
    linkMetrics(registry)
    addQuorumMetrics(registry, quorum)
    evacuations.addMetrics(registry)
    this.services.granter.addMetrics(registry)
    this.services.streamBuilds.addMetrics(registry)
    this.services.crashEvaluator.addMetrics(registry)
    this.services.partEvaluator.addMetrics(registry)
    this.services.registrar.addMetrics(registry)
    this.services.leaveRecorder.addMetrics(registry)
    this.services.scalingController.addMetrics(registry)
    this.http = createAdminServer({
      registry,
      notReady: () => quorum.leaderName === undefined ? 'no leader is known' : undefined,
      pages: {
        '/status': () => ({
          role: 'control',
          box: settings.box,
          revision: store.revision,
          quorum: quorum.status(),
          boxes: members.all().length,
          quarantined: [...this.services.state.quarantine.evidence.quarantined],
          quarantinedParts: [...heldPartsIn(store.records).values()]
        })
      }
    })
    this.address = await this.http.listen(settings.admin)
  }

  async stop (): Promise<void> {
    await this.http?.close()
  }
}
