/** Puts the orderer of endpoints together from the services of a control process. */
import { type RoutingDocument } from '@gullwall/config.document'
import { type ControlServices } from './index.ts'
import { LeaderLease } from './leader-lease.ts'
import { observeDemand, type ObservedDemand } from './scaling-demand.ts'
import { ScalingController } from './scaling-controller.ts'

/** Makes the orderer; it does nothing where no settings or no sink are given, or no service has a `scaling`. */
export function createScalingController (services: ControlServices): ScalingController {
  const { settings, quorum, scalingSink, state, proposer, logger } = services
  const watch = new DemandWatch(services)
  return new ScalingController({
    lease: new LeaderLease({
      leaseMs: settings.scaling?.leaseMs ?? Infinity,
      leadingTerm: () => quorum.role === 'leader' ? quorum.status().term : undefined,
      confirmLeadership: async () => await quorum.confirmRead()
    }),
    orders: state.scalingOrders,
    decide: async (command) => await proposer.decideScaling(command),
    observeDemand: () => watch.see(),
    sink: settings.scaling === undefined ? undefined : scalingSink,
    holder: settings.box,
    callsPerSecond: settings.scaling?.callsPerSecond ?? 1,
    logger
  })
}

class DemandWatch {
  private revision: number | undefined
  private document: RoutingDocument | undefined

  constructor (private readonly services: ControlServices) {}

  see (): ObservedDemand[] {
    const document = this.scaledDocument()
    if (document === undefined) return []
    const { leases, loadRelay, quorum } = this.services
    const work = loadRelay.getSnapshot()
    const others = Object.keys(quorum.membership.voters).filter((name) => name !== quorum.name).length
    return observeDemand({ document, leases, load: work, isWhole: work.activePeerCount >= others })
  }

  /** The document in force, read again only once a record has changed; none where no service in it has a `scaling`. */
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
