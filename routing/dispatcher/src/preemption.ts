/**
 * Decides when waiting work may take a slot from a stream of a lower tier: when
 * it has waited for a share of its first-token target. The sidecar has the last
 * word, since it alone knows what runs.
 */
import { type GroupDemand } from './demand-sender.ts'
import { type EndpointView } from './types.ts'

/** A request may preempt once it has waited this share of its first-token target. */
const PATIENCE = 0.25
/** How long an order to preempt counts as under way, in ms. */
const ORDER_LIFETIME_MS = 250

export class PreemptionPlanner {
  private readonly underWay = new Map<string, number[]>()
  private readonly orderedAt = new Map<string, number>()

  constructor (private readonly dataCentre: string) {}

  /** Sends at most one order for each waiting request, and one for each endpoint at a time. */
  plan (demands: readonly GroupDemand[], now: number): void {
    for (const demand of demands) {
      if (now - demand.oldestArrivedAt < PATIENCE * demand.sample.firstTokenMs) continue
      this.orderFor(demand, now)
    }
  }

  private orderFor (demand: GroupDemand, now: number): void {
    const underWay = (this.underWay.get(demand.group) ?? []).filter((at) => now - at < ORDER_LIFETIME_MS)
    const wanted = demand.count - underWay.length
    const victims = this.victims(demand, now).slice(0, Math.max(0, wanted))
    for (const view of victims) {
      view.sidecar.sendPreempt(view.description.name, demand.class, demand.tier)
      this.orderedAt.set(view.description.name, now)
      underWay.push(now)
    }
    this.underWay.set(demand.group, underWay)
  }

  /** Endpoints with lower-tier streams; the lowest tiers first, then the own data centre. */
  private victims (demand: GroupDemand, now: number): EndpointView[] {
    const fit = demand.endpoints.filter((view) => {
      const last = this.orderedAt.get(view.description.name) ?? -Infinity
      return view.load.preemptableTier > demand.tier && now - last >= ORDER_LIFETIME_MS
    })
    return fit.sort((left, right) => {
      const byTier = right.load.preemptableTier - left.load.preemptableTier
      return byTier !== 0 ? byTier : this.distance(left) - this.distance(right)
    })
  }

  private distance (view: EndpointView): number {
    return view.sidecar.dataCentre === this.dataCentre ? 0 : 1
  }
}
