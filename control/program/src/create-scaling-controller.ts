/** Creates the scaling controller from the services of a control process. */
import { type RoutingDocument } from '@gullwall/config.document'
import { type ControlServices } from './index.ts'
import { LeaderLease } from './leader-lease.ts'
import { observeDemand, type ObservedDemand } from './scaling-demand.ts'
import { ScalingController } from './scaling-controller.ts'

/** Creates the controller. It is inactive if the settings or the sink are missing, or if no service has `scaling`. */
export function createScalingController (services: ControlServices): ScalingController {
  const { settings, quorum, scalingSink, state, proposer, logger } = services
  const demandSource = new DemandSource(services)
  return new ScalingController({
    lease: new LeaderLease({
      leaseMs: settings.scaling?.leaseMs ?? Infinity,
      leadingTerm: () => quorum.role === 'leader' ? quorum.status().term : undefined,
      confirmLeadership: async () => await quorum.confirmRead()
    }),
    orders: state.scalingOrders,
    decide: async (command) => await proposer.decideScaling(command),
    observeDemand: () => demandSource.observe(),
    sink: settings.scaling === undefined ? undefined : scalingSink,
    holder: settings.box,
    callsPerSecond: settings.scaling?.callsPerSecond ?? 1,
    logger
  })
}

class DemandSource {
  private revision: number | undefined
  private document: RoutingDocument | undefined

  constructor (private readonly services: ControlServices) {}

  observe (): ObservedDemand[] {
    const document = this.scaledDocument()
    if (document === undefined) return []
    const { leases, loadRelay, quorum } = this.services
    const load = loadRelay.getSnapshot()
    const otherVoters = Object.keys(quorum.membership.voters).filter((name) => name !== quorum.name).length
    return observeDemand({ document, leases, load, isComplete: load.activePeerCount >= otherVoters })
  }

  /** Returns the active document, or undefined if no service in it has `scaling`. Parses it again only after a record has changed. */
  private scaledDocument (): RoutingDocument | undefined {
    const { state, format } = this.services
    if (this.revision === state.revision) return this.document
    this.revision = state.revision
    const stored = state.document
    const document = stored === undefined ? undefined : format.parse(stored.text).toMaybe().extract()
    this.document = document?.services.some(({ scaling }) => scaling !== undefined) === true ? document : undefined
    return this.document
  }
}
