/** The grants that this box holds: how many requests it may send to which cold endpoint, and until when. Time is an argument. */

interface HeldGrant {
  requests: number
  until: number
}

export class ColdPurse {
  private readonly grants = new Map<string, HeldGrant[]>()

  /** Notes a grant; one that is over already is dropped. */
  add (incarnation: string, grant: HeldGrant, now: number): void {
    if (grant.requests > 0 && grant.until > now) this.grants.set(incarnation, [...this.live(incarnation, now), grant])
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

  private live (incarnation: string, now: number): HeldGrant[] {
    const held = this.grants.get(incarnation)
    if (held === undefined) return []
    const live = held.filter(({ requests, until }) => requests > 0 && now < until)
    if (live.length > 0) this.grants.set(incarnation, live)
    else this.grants.delete(incarnation)
    return live
  }
}
