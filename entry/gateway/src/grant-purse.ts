/**
 * The grants that this box holds: how many requests it may send to which cold endpoint, and until when. Time is an argument;
 * what the box has slept since a grant counts against it.
 */
import { suspensions } from '@gullwall/core.clock'

interface HeldGrant {
  requests: number
  until: number
}

interface KeptGrant extends HeldGrant {
  /** For how long the box had been suspended when the grant was noted, in ms. */
  sleptMs: number
}

export class GrantPurse {
  private readonly grants = new Map<string, KeptGrant[]>()

  /** @param slept tells for how long this box has been suspended so far, in ms */
  constructor (private readonly slept: () => number = () => suspensions.slept()) {}

  /** Notes a grant; one that is over already is dropped. */
  add (incarnation: string, grant: HeldGrant, now: number): void {
    if (grant.requests <= 0 || grant.until <= now) return
    this.grants.set(incarnation, [...this.live(incarnation, now), { ...grant, sleptMs: this.slept() }])
  }

  /** How many requests may be sent to an endpoint now. */
  left (incarnation: string, now: number): number {
    return this.live(incarnation, now).reduce((sum, { requests }) => sum + requests, 0)
  }

  /** Uses the grant that ends first for one request; false where there is none. What is used never comes back. */
  take (incarnation: string, now: number): boolean {
    const [first] = this.live(incarnation, now).sort((left, right) => left.until - right.until)
    if (first === undefined) return false
    first.requests -= 1
    return true
  }

  forget (incarnation: string): void {
    this.grants.delete(incarnation)
  }

  private live (incarnation: string, now: number): KeptGrant[] {
    const held = this.grants.get(incarnation)
    if (held === undefined) return []
    const slept = this.slept()
    const live = held.filter(({ requests, until, sleptMs }) => requests > 0 && now + slept - sleptMs < until)
    if (live.length > 0) this.grants.set(incarnation, live)
    else this.grants.delete(incarnation)
    return live
  }
}
