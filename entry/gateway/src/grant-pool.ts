/**
 * The grants of this box: how many requests it may send to each cold or limited endpoint, and until when. The current time is passed
 * as an argument. Time for which the box was suspended counts against the validity of a grant.
 */
import { suspensions } from '@gullwall/core.clock'

interface NewGrant {
  requests: number
  until: number
}

/** A grant that was received, with the state that its validity depends on. */
export interface ActiveGrant extends NewGrant {
  /** Total time for which the box had been suspended when the grant was added, in ms. */
  suspendedMs: number
}

export class GrantPool {
  private readonly grants = new Map<string, ActiveGrant[]>()

  /** @param slept returns the total time for which this box has been suspended, in ms */
  constructor (private readonly slept: () => number = () => suspensions.suspendedMs()) {}

  /** Adds a grant; one that is empty or has expired is ignored. */
  add (incarnation: string, grant: NewGrant, now: number): void {
    if (grant.requests <= 0 || grant.until <= now) return
    this.grants.set(incarnation, [...this.active(incarnation, now), { ...grant, suspendedMs: this.slept() }])
  }

  /** Returns how many requests may be sent to an endpoint now. */
  countAvailable (incarnation: string, now: number): number {
    return this.active(incarnation, now).reduce((sum, { requests }) => sum + requests, 0)
  }

  /** Uses a grant for one request, as `takeGrant` does; returns whether one was available. */
  tryTake (incarnation: string, now: number): boolean {
    return this.takeGrant(incarnation, now) !== undefined
  }

  /** Uses the grant that expires first for one request; undefined if none is available. A used grant is never returned to the pool. */
  takeGrant (incarnation: string, now: number): ActiveGrant | undefined {
    const [first] = this.active(incarnation, now).sort((left, right) => left.until - right.until)
    if (first !== undefined) first.requests -= 1
    return first
  }

  /** Whether the validity of a grant has ended. */
  isExpired ({ until, suspendedMs }: ActiveGrant, now: number): boolean {
    return now + this.slept() - suspendedMs >= until
  }

  forget (incarnation: string): void {
    this.grants.delete(incarnation)
  }

  /** Returns the grants of an endpoint that are still valid and not used up, and removes the others. */
  private active (incarnation: string, now: number): ActiveGrant[] {
    const all = this.grants.get(incarnation)
    if (all === undefined) return []
    const active = all.filter((grant) => grant.requests > 0 && !this.isExpired(grant, now))
    if (active.length > 0) this.grants.set(incarnation, active)
    else this.grants.delete(incarnation)
    return active
  }
}
