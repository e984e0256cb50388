/** Puts the orderer of endpoints together from the services of a control process. */
import { type RoutingDocument } from '@gullwall/config.document'
import { type ControlServices } from './index.ts'
import { DutyLease } from './duty-lease.ts'
import { seeDemand, type SeenDemand } from './scaling-demand.ts'
import { ScalingOrderer } from './scaling-orderer.ts'

/** Makes the orderer; it does nothing where no settings or no sink are given, or no service has a `scaling`. */
export function scalingOrdererOf (services: ControlServices): ScalingOrderer {
  const { settings, quorum, scalingSink, state, proposer, logger } = services
  const watch = new DemandWatch(services)
  return new ScalingOrderer({
    lease: new DutyLease({
      leaseMs: settings.scaling?.leaseMs ?? Infinity,
      leadingTerm: () => quorum.role === 'leader' ? quorum.status().term : undefined,
      confirm: async () => await quorum.confirmRead()
    }),
    orders: state.scalingOrders,
    decide: async (command) => await proposer.decideScaling(command),
    see: () => watch.see(),
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

  see (): SeenDemand[] {
    const document = this.scaledDocument()
    if (document === undefined) return []
    const { leases, workRelay, quorum } = this.services
    const work = workRelay.everything()
    const others = Object.keys(quorum.membership.voters).filter((name) => name !== quorum.name).length
    return seeDemand({ document, leases, work, isWhole: work.peersHeard >= others })
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
