/**
 * Decides when waiting requests may preempt a stream of a lower tier: after they have waited for a fraction of their first-token
 * target. The sidecar makes the final decision, since only it knows which streams are running.
 */
import { type GroupDemand } from './demand-sender.ts'
import { type EndpointView } from './types.ts'

/** The fraction of the first-token target after which a request may preempt a stream. */
const PREEMPTION_DELAY = 0.25
/** The time for which a preemption order counts as pending, in ms. */
const ORDER_LIFETIME_MS = 250

export class PreemptionPlanner {
  /** The times of pending orders by group. */
  private readonly pendingOrders = new Map<string, number[]>()
  /** The time of the latest order by endpoint. */
  private readonly orderedAt = new Map<string, number>()

  constructor (private readonly dataCentre: string) {}

  /** Sends preemption orders: at most one pending order for each waiting request and for each endpoint. */
  plan (demands: readonly GroupDemand[], now: number): void {
    for (const demand of demands) {
      if (now - demand.oldestArrivedAt < PREEMPTION_DELAY * demand.sample.firstTokenMs) continue
      this.sendOrders(demand, now)
    }
  }

  private sendOrders (demand: GroupDemand, now: number): void {
    const pending = (this.pendingOrders.get(demand.group) ?? []).filter((at) => now - at < ORDER_LIFETIME_MS)
    const missing = demand.count - pending.length
    const victims = this.findVictims(demand, now).slice(0, Math.max(0, missing))
    for (const view of victims) {
      view.sidecar.sendPreempt(view.description.name, demand.class, demand.tier)
      this.orderedAt.set(view.description.name, now)
      pending.push(now)
    }
    this.pendingOrders.set(demand.group, pending)
  }

  /** Returns endpoints with preemptible streams of lower tiers: the lowest tier first, then the same data centre first. */
  private findVictims (demand: GroupDemand, now: number): EndpointView[] {
    const candidates = demand.endpoints.filter((view) => {
      const lastOrderAt = this.orderedAt.get(view.description.name) ?? -Infinity
      return view.load.preemptableTier > demand.tier && now - lastOrderAt >= ORDER_LIFETIME_MS
    })
    return candidates.sort((left, right) => {
      const byTier = right.load.preemptableTier - left.load.preemptableTier
      return byTier !== 0 ? byTier : this.distance(left) - this.distance(right)
    })
  }

  private distance (view: EndpointView): number {
    return view.sidecar.dataCentre === this.dataCentre ? 0 : 1
  }
}
