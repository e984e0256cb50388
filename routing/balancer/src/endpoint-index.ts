/**
 * An index of endpoints, so that a choice needn't check all of them: the endpoints that accept new requests for a service, those
 * that have a prompt part cached, and those where this entry has requests in flight. Every change updates the index at once.
 */
import { EndpointPool } from './endpoint-pool.ts'
import { type EndpointState, type EndpointWatcher } from './endpoint-state.ts'
import { PrefixHolders } from './prefix-holders.ts'

const EMPTY_POOL = new EndpointPool()

export class EndpointIndex implements EndpointWatcher {
  readonly prefixHolders = new PrefixHolders()
  /** Endpoints with requests of this entry in flight, or with something to report about them. */
  readonly busy = new Set<EndpointState>()
  private readonly pools = new Map<string, EndpointPool>()
  private readonly poolOf = new Map<EndpointState, EndpointPool>()

  /** Returns the endpoints of a service that accept new requests. */
  pool (service: string): EndpointPool {
    return this.pools.get(service) ?? EMPTY_POOL
  }

  /** Sets whether an endpoint accepts new requests; called whenever that, its service or its data centre may have changed. */
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

  /** Updates the totals of a service with the present state of one of its endpoints. */
  updateTotals (endpoint: EndpointState): void {
    this.poolOf.get(endpoint)?.totals.update(endpoint)
  }

  /** Removes an endpoint that no longer exists. */
  forget (endpoint: EndpointState): void {
    this.setUsable(endpoint, false)
    this.busy.delete(endpoint)
    endpoint.prefixCache.clear()
  }

  /** Removes endpoints from `busy` that have no request in flight and nothing to report. */
  removeIdle (now: number): void {
    for (const endpoint of this.busy) {
      const hasUnreported = endpoint.prefill.hasObservations || endpoint.outcomes.hasObservations
      if (endpoint.inFlight === 0 && !endpoint.isUnreachable(now) && !hasUnreported) this.busy.delete(endpoint)
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
