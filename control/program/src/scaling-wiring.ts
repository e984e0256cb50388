/** Creates the scaling controller from the services of a control process. */
import { type RoutingDocument } from '@gullwall/config.document'
import { type ControlServices } from './index.ts'
import { DutyLease } from './duty-lease.ts'
import { seeDemand, type SeenDemand } from './scaling-demand.ts'
import { ScalingOrderer } from './scaling-orderer.ts'

/** Creates the controller. It is inactive if the settings or the sink are missing, or if no service has `scaling`. */
export function scalingOrdererOf (services: ControlServices): ScalingOrderer {
  const { settings, quorum, scalingSink, state, proposer, logger } = services
  const demandSource = new DemandSource(services)
  return new ScalingOrderer({
    lease: new DutyLease({
      leaseMs: settings.scaling?.leaseMs ?? Infinity,
      leadingTerm: () => quorum.role === 'leader' ? quorum.status().term : undefined,
      confirm: async () => await quorum.confirmRead()
    }),
    orders: state.scalingOrders,
    decide: async (command) => await proposer.decideScaling(command),
    see: () => demandSource.see(),
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

  see (): SeenDemand[] {
    const document = this.scaledDocument()
    if (document === undefined) return []
    const { leases, workRelay, quorum } = this.services
    const work = workRelay.everything()
    const otherVoters = Object.keys(quorum.membership.voters).filter((name) => name !== quorum.name).length
    return seeDemand({ document, leases, work, isWhole: work.peersHeard >= otherVoters })
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
