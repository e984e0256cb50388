/** The endpoints of one service that accept new requests, sorted in the orders that the choice needs. */
import { type EndpointState } from './endpoint-state.ts'
import { EngineCensus } from './engine-census.ts'
import { SortedList } from './sorted-list.ts'

/** The endpoints of a service in one data centre. */
export interface PlacePool {
  dataCentre: string
  /** In the order in which they became known. */
  readonly members: SortedList<EndpointState>
  /** In their order on the affinity ring. */
  readonly ring: SortedList<EndpointState>
}

export class EndpointPool {
  /** In the order in which they became known. */
  readonly members = new SortedList<EndpointState>((endpoint) => endpoint.seniority)
  /** In the order in which they are reserved. */
  readonly byRank = new SortedList<EndpointState>((endpoint) => endpoint.reservationRank)
  readonly census = new EngineCensus()
  /** Increases with every change of the members. */
  version = 0
  private readonly placesByName = new Map<string, PlacePool>()
  private readonly placeOfMember = new Map<EndpointState, PlacePool>()

  get size (): number {
    return this.placeOfMember.size
  }

  get places (): IterableIterator<PlacePool> {
    return this.placesByName.values()
  }

  /** Returns the pool of the data centre that a member belongs to; undefined if the endpoint is no member. */
  placeOf (endpoint: EndpointState): PlacePool | undefined {
    return this.placeOfMember.get(endpoint)
  }

  /** Whether an endpoint is a member, in the data centre of its present description. */
  isPlaced (endpoint: EndpointState): boolean {
    return this.placeOfMember.get(endpoint)?.dataCentre === endpoint.description.dataCentre
  }

  add (endpoint: EndpointState): void {
    if (this.placeOfMember.has(endpoint)) return
    const place = this.placeNamed(endpoint.description.dataCentre)
    for (const list of [this.members, this.byRank, place.members, place.ring]) list.add(endpoint)
    this.placeOfMember.set(endpoint, place)
    this.census.count(endpoint)
    this.version += 1
  }

  remove (endpoint: EndpointState): void {
    const place = this.placeOfMember.get(endpoint)
    if (place === undefined) return
    for (const list of [this.members, this.byRank, place.members, place.ring]) list.remove(endpoint)
    this.placeOfMember.delete(endpoint)
    this.census.leaveOut(endpoint)
    if (place.members.items.length === 0) this.placesByName.delete(place.dataCentre)
    this.version += 1
  }

  private placeNamed (dataCentre: string): PlacePool {
    const known = this.placesByName.get(dataCentre)
    if (known !== undefined) return known
    const place: PlacePool = {
      dataCentre,
      members: new SortedList((endpoint) => endpoint.seniority),
      ring: new SortedList((endpoint) => endpoint.homePoint)
    }
    this.placesByName.set(dataCentre, place)
    return place
  }
}
