/** Rate and in-flight limits of organisations for the requests of one entry. */
import { type OrganisationRecord } from '@gullwall/config.records'

/** The limit that a request exceeds, and the time after which it may be retried. */
export interface LimitExceeded {
  limit: 'rate' | 'in-flight'
  retryAfterMs: number
}

/** A token bucket and the requests in flight. */
interface Usage {
  tokens: number
  refilledAt: number
  inFlight: number
}

const MS_PER_SECOND = 1000
const IN_FLIGHT_RETRY_MS = 1000

export class OrganisationLimits {
  private readonly usage = new Map<string, Usage>()

  /** Admits a request, or returns the limit it exceeds. Each admitted request must be followed by a call of {@link release}. */
  admit (name: string, organisation: OrganisationRecord, now = performance.now()): LimitExceeded | undefined {
    const usage = this.getOrCreate(name, organisation, now)
    if (organisation.maxInFlight > 0 && usage.inFlight >= organisation.maxInFlight) {
      return { limit: 'in-flight', retryAfterMs: IN_FLIGHT_RETRY_MS }
    }
    if (organisation.ratePerSecond > 0) {
      refill(usage, organisation, now)
      if (usage.tokens < 1) {
        return { limit: 'rate', retryAfterMs: (1 - usage.tokens) / organisation.ratePerSecond * MS_PER_SECOND }
      }
      usage.tokens -= 1
    }
    usage.inFlight += 1
    return undefined
  }

  /** Ends a request that was admitted. */
  release (name: string): void {
    const usage = this.usage.get(name)
    if (usage === undefined) return
    usage.inFlight -= 1
  }

  /** Drops the state of idle organisations whose token bucket is full, so that only active organisations take memory. */
  sweep (findRecord: (name: string) => OrganisationRecord | undefined, now = performance.now()): void {
    for (const [name, usage] of this.usage) {
      const organisation = findRecord(name)
      if (organisation !== undefined) refill(usage, organisation, now)
      const isFull = organisation === undefined || usage.tokens >= organisation.burst
      if (usage.inFlight === 0 && isFull) this.usage.delete(name)
    }
  }

  private getOrCreate (name: string, organisation: OrganisationRecord, now: number): Usage {
    let usage = this.usage.get(name)
    if (usage === undefined) {
      usage = { tokens: organisation.burst, refilledAt: now, inFlight: 0 }
      this.usage.set(name, usage)
    }
    return usage
  }
}

function refill (usage: Usage, organisation: OrganisationRecord, now: number): void {
  const added = (now - usage.refilledAt) / MS_PER_SECOND * organisation.ratePerSecond
  usage.tokens = Math.min(organisation.burst, usage.tokens + added)
  usage.refilledAt = now
}
