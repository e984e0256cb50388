/** The endpoints of one service that accept new requests, sorted in the orders that the choice needs. */
import { type EndpointState } from './endpoint-state.ts'
import { EngineTotals } from './engine-totals.ts'
import { SortedList } from './sorted-list.ts'

/** The endpoints of a service in one data centre. */
export interface DataCentrePool {
  dataCentre: string
  /** In the order in which they became known. */
  readonly members: SortedList<EndpointState>
  /** In their order on the affinity ring. */
  readonly affinityRing: SortedList<EndpointState>
}

export class EndpointPool {
  /** In the order in which they became known. */
  readonly members = new SortedList<EndpointState>((endpoint) => endpoint.registrationOrder)
  /** In the order in which they are reserved. */
  readonly byReservationRank = new SortedList<EndpointState>((endpoint) => endpoint.reservationRank)
  readonly totals = new EngineTotals()
  /** Increases with every change of the members. */
  version = 0
  private readonly poolsByDataCentre = new Map<string, DataCentrePool>()
  private readonly poolOfMember = new Map<EndpointState, DataCentrePool>()

  get size (): number {
    return this.poolOfMember.size
  }

  get dataCentrePools (): IterableIterator<DataCentrePool> {
    return this.poolsByDataCentre.values()
  }

  /** Returns the pool of the data centre that a member belongs to; undefined if the endpoint is no member. */
  dataCentrePoolOf (endpoint: EndpointState): DataCentrePool | undefined {
    return this.poolOfMember.get(endpoint)
  }

  /** Whether an endpoint is a member, in the data centre of its present description. */
  isInCurrentDataCentre (endpoint: EndpointState): boolean {
    return this.poolOfMember.get(endpoint)?.dataCentre === endpoint.description.dataCentre
  }

  add (endpoint: EndpointState): void {
    if (this.poolOfMember.has(endpoint)) return
    const pool = this.poolForDataCentre(endpoint.description.dataCentre)
    for (const list of [this.members, this.byReservationRank, pool.members, pool.affinityRing]) list.add(endpoint)
    this.poolOfMember.set(endpoint, pool)
    this.totals.update(endpoint)
    this.version += 1
  }

  remove (endpoint: EndpointState): void {
    const pool = this.poolOfMember.get(endpoint)
    if (pool === undefined) return
    for (const list of [this.members, this.byReservationRank, pool.members, pool.affinityRing]) list.remove(endpoint)
    this.poolOfMember.delete(endpoint)
    this.totals.remove(endpoint)
    if (pool.members.items.length === 0) this.poolsByDataCentre.delete(pool.dataCentre)
    this.version += 1
  }

  private poolForDataCentre (dataCentre: string): DataCentrePool {
    const known = this.poolsByDataCentre.get(dataCentre)
    if (known !== undefined) return known
    const pool: DataCentrePool = {
      dataCentre,
      members: new SortedList((endpoint) => endpoint.registrationOrder),
      affinityRing: new SortedList((endpoint) => endpoint.affinityPoint)
    }
    this.poolsByDataCentre.set(dataCentre, pool)
    return pool
  }
}
