/**
 * What a choice looks up instead of asking every endpoint: who takes new work for a service, who keeps a part of a prompt,
 * and where this entry has work. Each change is noted when it happens, so that what is looked up is never old.
 */
import { EndpointPool } from './endpoint-pool.ts'
import { type EndpointState, type EndpointWatcher } from './endpoint-state.ts'
import { PrefixHolders } from './prefix-holders.ts'

const NO_ENDPOINTS = new EndpointPool()

export class EndpointIndex implements EndpointWatcher {
  readonly prefixHolders = new PrefixHolders()
  /** Endpoints with work of this entry, or with something to tell of them. */
  readonly busy = new Set<EndpointState>()
  private readonly pools = new Map<string, EndpointPool>()
  private readonly poolOf = new Map<EndpointState, EndpointPool>()

  /** The endpoints of a service that take new work. */
  pool (service: string): EndpointPool {
    return this.pools.get(service) ?? NO_ENDPOINTS
  }

  /** Notes whether an endpoint takes new work; called whenever that, its service or its data centre may have changed. */
  setUsable (endpoint: EndpointState, isUsable: boolean): void {
    const { service } = endpoint.description
    const before = this.poolOf.get(endpoint)
    const after = isUsable ? this.poolFor(service) : undefined
    if (before === after && (after === undefined || after.isInCurrentDataCentre(endpoint))) return
    before?.remove(endpoint)
    this.poolOf.delete(endpoint)
    if (after === undefined) return
    after.add(endpoint)
    this.poolOf.set(endpoint, after)
  }

  /** Takes what an endpoint has under way now into what is added up over its service. */
  updateTotals (endpoint: EndpointState): void {
    this.poolOf.get(endpoint)?.totals.update(endpoint)
  }

  /** Forgets an endpoint that is gone. */
  forget (endpoint: EndpointState): void {
    this.setUsable(endpoint, false)
    this.busy.delete(endpoint)
    endpoint.prefixCache.clear()
  }

  /** Leaves out endpoints of which there is nothing left to tell. */
  removeIdle (now: number): void {
    for (const endpoint of this.busy) {
      const isUntold = endpoint.prefill.hasObservations || endpoint.outcomes.hasObservations
      if (endpoint.inFlight === 0 && !endpoint.isUnreachable(now) && !isUntold) this.busy.delete(endpoint)
    }
  }

  onPartCached (endpoint: EndpointState, part: string): void {
    this.prefixHolders.add(endpoint, part)
  }

  onPartEvicted (endpoint: EndpointState, part: string): void {
    this.prefixHolders.remove(endpoint, part)
  }

  onRequestStarted (endpoint: EndpointState): void {
    this.busy.add(endpoint)
  }

  onEnded (endpoint: EndpointState): void {
    this.setUsable(endpoint, false)
  }

  private poolFor (service: string): EndpointPool {
    const known = this.pools.get(service)
    if (known !== undefined) return known
    const pool = new EndpointPool()
    this.pools.set(service, pool)
    return pool
  }
}
