/** Whether one endpoint is cold, as far as this box knows: by its word, or by what is assumed until its next word. */
import { type KnownLease } from '@gullwall/control.registry'

/** How much later than by the endpoint's own word it is taken to be warm, as a share: clocks differ by 0.02 each. */
const CLOCK_MARGIN = 0.05
/** A heartbeat that arrives so long after a moment, in ms, was begun after it: an endpoint gives up on an answer after a second. */
const HEARTBEAT_FLIGHT_MS = 1000
/** For how long an endpoint that has just turned warm gets a growing share of the requests, in ms. */
export const RAMP_MS = 2000
/** The share with which it begins: about what it had by grants. */
const RAMP_START = 0.1

/** What is assumed of an endpoint until a heartbeat that was begun later tells. */
interface Assumption {
  since: number
  until: number
  why: string
}

export class WarmUpState {
  isCold = false
  /** Until when it is cold, as it was known at the latest look. */
  coldUntil = -Infinity
  /** Why it is taken to be cold, or was. */
  why = ''
  private warmSince = -Infinity
  private assumption: Assumption | undefined

  /** Takes it to be cold for some time, unless a heartbeat that is begun later says otherwise. */
  assumeCold (assumption: Assumption): void {
    this.assumption = assumption
  }

  /** Looks at the latest word; true where it has turned. */
  update (lease: KnownLease, now: number): boolean {
    const wasCold = this.isCold
    const sureAt = (this.assumption?.since ?? Infinity) + HEARTBEAT_FLIGHT_MS
    if (lease.coldMs !== undefined && lease.receivedAt > sureAt) this.assumption = undefined
    const told = lease.coldMs === undefined ? -Infinity : lease.receivedAt + (1 + CLOCK_MARGIN) * lease.coldMs
    const assumed = this.assumption?.until ?? -Infinity
    this.coldUntil = Math.max(told, assumed)
    this.isCold = now < this.coldUntil
    if (this.isCold) this.why = told < assumed ? this.assumption?.why ?? '' : whatItSaid(lease, now)
    else if (wasCold) this.warmSince = now
    return wasCold !== this.isCold
  }

  /** The share of the requests that may have it, besides those with a grant: it grows up to 1 once it has turned warm. */
  shareAt (now: number): number {
    return rampShare(this.warmSince, now)
  }
}

/** The share of the requests that may have an endpoint which was opened to them at a time: it grows up to 1. */
export function rampShare (openedAt: number | undefined, now: number): number {
  return openedAt === undefined ? 1 : Math.min(1, RAMP_START + (1 - RAMP_START) * (now - openedAt) / RAMP_MS)
}

function whatItSaid ({ receivedAt, coldMs }: KnownLease, now: number): string {
  return `it said ${Math.round(now - receivedAt)} ms ago: for ${coldMs ?? 0} ms`
}
