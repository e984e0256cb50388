/**
 * The grants that this box holds: how many requests it may send to which endpoint that is cold or limited, and until when. Time is
 * an argument; what the box has slept since a grant counts against it.
 */
import { suspensions } from '@gullwall/core.clock'

interface NewGrant {
  requests: number
  until: number
}

/** A grant as it is held here. */
export interface ActiveGrant extends NewGrant {
  /** For how long the box had been suspended when the grant was noted, in ms. */
  suspendedMs: number
}

export class GrantPool {
  private readonly grants = new Map<string, ActiveGrant[]>()

  /** @param slept tells for how long this box has been suspended so far, in ms */
  constructor (private readonly slept: () => number = () => suspensions.suspendedMs()) {}

  /** Notes a grant; one that is over already is dropped. */
  add (incarnation: string, grant: NewGrant, now: number): void {
    if (grant.requests <= 0 || grant.until <= now) return
    this.grants.set(incarnation, [...this.live(incarnation, now), { ...grant, suspendedMs: this.slept() }])
  }

  /** How many requests may be sent to an endpoint now. */
  countAvailable (incarnation: string, now: number): number {
    return this.live(incarnation, now).reduce((sum, { requests }) => sum + requests, 0)
  }

  /** Uses the grant that ends first for one request; false where there is none. What is used never comes back. */
  tryTake (incarnation: string, now: number): boolean {
    return this.takeGrant(incarnation, now) !== undefined
  }

  /** The same, and gives the grant. */
  takeGrant (incarnation: string, now: number): ActiveGrant | undefined {
    const [first] = this.live(incarnation, now).sort((left, right) => left.until - right.until)
    if (first !== undefined) first.requests -= 1
    return first
  }

  /** Whether the time in which a grant is used has passed. */
  isExpired ({ until, suspendedMs }: ActiveGrant, now: number): boolean {
    return now + this.slept() - suspendedMs >= until
  }

  forget (incarnation: string): void {
    this.grants.delete(incarnation)
  }

  private live (incarnation: string, now: number): ActiveGrant[] {
    const held = this.grants.get(incarnation)
    if (held === undefined) return []
    const live = held.filter((grant) => grant.requests > 0 && !this.isExpired(grant, now))
    if (live.length > 0) this.grants.set(incarnation, live)
    else this.grants.delete(incarnation)
    return live
  }
}
