/** Rate and in-flight limits of organisations, as one entry sees them. */
import { type OrganisationRecord } from '@gullwall/config.records'

/** Why a request is over its organisation's limit, and when to come back. */
export interface LimitExceeded {
  limit: 'rate' | 'in-flight'
  retryAfterMs: number
}

interface Account {
  tokens: number
  refilledAt: number
  inFlight: number
}

const MS_PER_SECOND = 1000
const IN_FLIGHT_RETRY_MS = 1000

export class OrganisationLimits {
  private readonly accounts = new Map<string, Account>()

  /** Takes one request into account, or tells which limit it exceeds. Pair with {@link release}. */
  admit (name: string, organisation: OrganisationRecord, now = performance.now()): LimitExceeded | undefined {
    const account = this.accountOf(name, organisation, now)
    if (organisation.maxInFlight > 0 && account.inFlight >= organisation.maxInFlight) {
      return { limit: 'in-flight', retryAfterMs: IN_FLIGHT_RETRY_MS }
    }
    if (organisation.ratePerSecond > 0) {
      refill(account, organisation, now)
      if (account.tokens < 1) {
        return { limit: 'rate', retryAfterMs: (1 - account.tokens) / organisation.ratePerSecond * MS_PER_SECOND }
      }
      account.tokens -= 1
    }
    account.inFlight += 1
    return undefined
  }

  release (name: string): void {
    const account = this.accounts.get(name)
    if (account === undefined) return
    account.inFlight -= 1
  }

  /** Forgets accounts that are idle and full again, so that memory follows the active organisations. */
  sweep (records: (name: string) => OrganisationRecord | undefined, now = performance.now()): void {
    for (const [name, account] of this.accounts) {
      const organisation = records(name)
      if (organisation !== undefined) refill(account, organisation, now)
      const isFull = organisation === undefined || account.tokens >= organisation.burst
      if (account.inFlight === 0 && isFull) this.accounts.delete(name)
    }
  }

  private accountOf (name: string, organisation: OrganisationRecord, now: number): Account {
    let account = this.accounts.get(name)
    if (account === undefined) {
      account = { tokens: organisation.burst, refilledAt: now, inFlight: 0 }
      this.accounts.set(name, account)
    }
    return account
  }
}

function refill (account: Account, organisation: OrganisationRecord, now: number): void {
  const earned = (now - account.refilledAt) / MS_PER_SECOND * organisation.ratePerSecond
  account.tokens = Math.min(organisation.burst, account.tokens + earned)
  account.refilledAt = now
}
