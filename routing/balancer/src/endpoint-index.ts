/**
 * What a choice looks up instead of asking every endpoint: who takes new work for a service, who keeps a part of a prompt,
 * and where this entry has work. Each change is noted when it happens, so that what is looked up is never old.
 */
import { EndpointPool } from './endpoint-pool.ts'
import { type EndpointState, type EndpointWatcher } from './endpoint-state.ts'
import { Keepers } from './keepers.ts'

const NO_ENDPOINTS = new EndpointPool()

export class EndpointIndex implements EndpointWatcher {
  readonly keepers = new Keepers()
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
    if (before === after && (after === undefined || after.isPlaced(endpoint))) return
    before?.remove(endpoint)
    this.poolOf.delete(endpoint)
    if (after === undefined) return
    after.add(endpoint)
    this.poolOf.set(endpoint, after)
  }

  /** Takes what an endpoint has under way now into what is added up over its service. */
  count (endpoint: EndpointState): void {
    this.poolOf.get(endpoint)?.census.count(endpoint)
  }

  /** Forgets an endpoint that is gone. */
  forget (endpoint: EndpointState): void {
    this.setUsable(endpoint, false)
    this.busy.delete(endpoint)
    endpoint.prefixes.clear()
  }

  /** Leaves out endpoints of which there is nothing left to tell. */
  settle (now: number): void {
    for (const endpoint of this.busy) {
      const isUntold = endpoint.reading.hasSeen || endpoint.outcomes.hasSeen
      if (endpoint.inFlight === 0 && !endpoint.isDead(now) && !isUntold) this.busy.delete(endpoint)
    }
  }

  kept (endpoint: EndpointState, part: string): void {
    this.keepers.add(endpoint, part)
  }

  dropped (endpoint: EndpointState, part: string): void {
    this.keepers.remove(endpoint, part)
  }

  began (endpoint: EndpointState): void {
    this.busy.add(endpoint)
  }

  ended (endpoint: EndpointState): void {
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
