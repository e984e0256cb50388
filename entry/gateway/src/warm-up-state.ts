/** Whether an endpoint is cold, by its own report or by an assumption that holds until its next report. */
import { type KnownLease } from '@gullwall/control.registry'

/** Share by which the reported cold time is extended, since each clock may run up to 0.02 too fast or too slow. */
const CLOCK_MARGIN = 0.05
/** The longest time from the start of a heartbeat until it is received, in ms: endpoints give up on one after a second. */
const MAX_HEARTBEAT_DELAY_MS = 1000
/** Duration of the ramp-up, in which an endpoint receives a growing share of the requests, in ms. */
export const RAMP_MS = 2000
/** Share of the requests at the start of the ramp-up: about the share that grants allowed. */
const RAMP_START_SHARE = 0.1

/** The assumption that an endpoint is cold. It holds until a heartbeat that started later reports the cold time. */
interface Assumption {
  since: number
  until: number
  reason: string
}

export class WarmUpState {
  isCold = false
  /** Until when the endpoint is cold, as of the last update. */
  coldUntil = -Infinity
  /** Why the endpoint is cold, or why it was when it was last cold. */
  reason = ''
  private warmSince = -Infinity
  private assumption: Assumption | undefined

  /** Considers the endpoint cold for some time, unless a heartbeat that starts later reports otherwise. */
  assumeCold (assumption: Assumption): void {
    this.assumption = assumption
  }

  /** Updates the state from the latest lease. Returns true if the endpoint has become cold or warm. */
  update (lease: KnownLease, now: number): boolean {
    const wasCold = this.isCold
    const confirmedAfter = (this.assumption?.since ?? Infinity) + MAX_HEARTBEAT_DELAY_MS
    if (lease.coldMs !== undefined && lease.receivedAt > confirmedAfter) this.assumption = undefined
    const reported = lease.coldMs === undefined ? -Infinity : lease.receivedAt + (1 + CLOCK_MARGIN) * lease.coldMs
    const assumed = this.assumption?.until ?? -Infinity
    this.coldUntil = Math.max(reported, assumed)
    this.isCold = now < this.coldUntil
    if (this.isCold) this.reason = reported < assumed ? this.assumption?.reason ?? '' : describeReport(lease, now)
    else if (wasCold) this.warmSince = now
    return wasCold !== this.isCold
  }

  /** The share of the requests that the endpoint receives after it has become warm; it grows to 1. */
  shareAt (now: number): number {
    return rampShare(this.warmSince, now)
  }
}

/** The share of the requests that an endpoint receives after its ramp-up started; it grows to 1. Without a ramp-up it is 1. */
export function rampShare (startedAt: number | undefined, now: number): number {
  return startedAt === undefined ? 1 : Math.min(1, RAMP_START_SHARE + (1 - RAMP_START_SHARE) * (now - startedAt) / RAMP_MS)
}

function describeReport ({ receivedAt, coldMs }: KnownLease, now: number): string {
  return `reported ${Math.round(now - receivedAt)} ms ago: cold for ${coldMs ?? 0} ms`
}
