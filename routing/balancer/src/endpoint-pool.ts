/** The endpoints of one service that take new work, in the orders that a choice needs; kept up to date one by one. */
import { type EndpointState } from './endpoint-state.ts'
import { EngineTotals } from './engine-totals.ts'
import { SortedList } from './sorted-list.ts'

/** The endpoints of a service in one data centre. */
export interface DataCentrePool {
  dataCentre: string
  /** In the order in which they became known. */
  readonly members: SortedList<EndpointState>
  /** In the order in which they follow each other on the ring of homes. */
  readonly affinityRing: SortedList<EndpointState>
}

export class EndpointPool {
  /** In the order in which they became known. */
  readonly members = new SortedList<EndpointState>((endpoint) => endpoint.registrationOrder)
  /** In the order in which they are reserved. */
  readonly byReservationRank = new SortedList<EndpointState>((endpoint) => endpoint.reservationRank)
  readonly totals = new EngineTotals()
  /** Grows with every change of its members. */
  version = 0
  private readonly placesByName = new Map<string, DataCentrePool>()
  private readonly placeOfMember = new Map<EndpointState, DataCentrePool>()

  get size (): number {
    return this.placeOfMember.size
  }

  get dataCentrePools (): IterableIterator<DataCentrePool> {
    return this.placesByName.values()
  }

  /** The place of an endpoint that takes new work. */
  dataCentrePoolOf (endpoint: EndpointState): DataCentrePool | undefined {
    return this.placeOfMember.get(endpoint)
  }

  /** Whether an endpoint is a member, in the data centre where it says to be. */
  isInCurrentDataCentre (endpoint: EndpointState): boolean {
    return this.placeOfMember.get(endpoint)?.dataCentre === endpoint.description.dataCentre
  }

  add (endpoint: EndpointState): void {
    if (this.placeOfMember.has(endpoint)) return
    const place = this.placeNamed(endpoint.description.dataCentre)
    for (const list of [this.members, this.byReservationRank, place.members, place.affinityRing]) list.add(endpoint)
    this.placeOfMember.set(endpoint, place)
    this.totals.update(endpoint)
    this.version += 1
  }

  remove (endpoint: EndpointState): void {
    const place = this.placeOfMember.get(endpoint)
    if (place === undefined) return
    for (const list of [this.members, this.byReservationRank, place.members, place.affinityRing]) list.remove(endpoint)
    this.placeOfMember.delete(endpoint)
    this.totals.remove(endpoint)
    if (place.members.items.length === 0) this.placesByName.delete(place.dataCentre)
    this.version += 1
  }

  private placeNamed (dataCentre: string): DataCentrePool {
    const known = this.placesByName.get(dataCentre)
    if (known !== undefined) return known
    const place: DataCentrePool = {
      dataCentre,
      members: new SortedList((endpoint) => endpoint.registrationOrder),
      affinityRing: new SortedList((endpoint) => endpoint.affinityPoint)
    }
    this.placesByName.set(dataCentre, place)
    return place
  }
}
