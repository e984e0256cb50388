/** When this process may grant requests to cold endpoints, and the ledger that it then keeps: one for each term in which it leads. */
import { GrantLedger, COLD_ACCOUNTING_WINDOW_MS } from './grant-ledger.ts'
import { LeaderLease, type AcquiredLease } from './leader-lease.ts'

/** The lease under which the leader grants, in ms. A majority confirms it each half of it at most. */
export const GRANT_LEASE_MS = 1000

export interface LeasedGrantLedgerOptions {
  /** The term in which this process leads; undefined while it does not. */
  leadingTerm: () => number | undefined
  /** Resolves once a majority has answered that this process still leads, to questions asked after the call. */
  confirmLeadership: () => Promise<unknown>
  now?: () => number
  leaseMs?: number
  /** Makes the ledger of a term that begins now. */
  createLedger?: (now: number) => GrantLedger
}

/** Whoever led before may have granted until its lease ran out, and what it granted is used for a span. */
function afterTakeOver (now: number): GrantLedger {
  return new GrantLedger({ startsAt: now + GRANT_LEASE_MS + COLD_ACCOUNTING_WINDOW_MS })
}

export class LeasedGrantLedger {
  private readonly lease: LeaderLease
  private readonly now: () => number
  private term: number | undefined
  private ledger: GrantLedger | undefined
  private fence: AcquiredLease | undefined
  private acquiring: Promise<AcquiredLease | undefined> | undefined

  constructor (private readonly options: LeasedGrantLedgerOptions) {
    const { leadingTerm, confirmLeadership, leaseMs = GRANT_LEASE_MS } = options
    this.now = options.now ?? (() => performance.now())
    this.lease = new LeaderLease({ leaseMs, leadingTerm, confirmLeadership, now: this.now })
  }

  /** Sees whether this process leads; the sooner it sees that, the sooner it may grant. */
  observeTerm (): void {
    const term = this.lease.observeTerm()
    const now = this.now()
    if (term !== this.term) {
      this.term = term
      this.ledger = term === undefined ? undefined : (this.options.createLedger ?? afterTakeOver)(now)
    }
    this.ledger?.sweep(now)
  }

  /** Gives the ledger, to be used in the same turn of the event loop; undefined while this process may not grant. */
  async acquire (): Promise<GrantLedger | undefined> {
    if (!this.isHeld()) {
      this.acquiring ??= this.lease.acquire().finally(() => { this.acquiring = undefined })
      this.fence = await this.acquiring
    }
    this.observeTerm()
    return this.isHeld() ? this.ledger : undefined
  }

  /** For how many endpoints grants are counted here. */
  get endpointCount (): number {
    return this.ledger?.endpointCount ?? 0
  }

  private isHeld (): boolean {
    return this.fence !== undefined && this.lease.isValid(this.fence)
  }
}
