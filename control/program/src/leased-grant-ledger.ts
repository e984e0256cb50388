/** Decides when this process may grant requests to endpoints, and keeps one grant ledger for each term in which the process leads. */
import { GrantLedger, COLD_ACCOUNTING_WINDOW_MS } from './grant-ledger.ts'
import { LeaderLease, type AcquiredLease } from './leader-lease.ts'

/** Length of the lease under which the leader grants, in ms. The leader asks a majority to confirm it at least every half of this time. */
export const GRANT_LEASE_MS = 1000

export interface LeasedGrantLedgerOptions {
  /** The term in which this process leads; undefined while it does not. */
  leadingTerm: () => number | undefined
  /** Asks a majority whether this process still leads. Resolves once the majority has confirmed it after the call. */
  confirmLeadership: () => Promise<unknown>
  now?: () => number
  leaseMs?: number
  /** Creates the ledger of a term that begins now. */
  createLedger?: (now: number) => GrantLedger
}

/** Waits until the lease of the previous leader has expired and until no request of its last grants can still be sent. */
function createLedgerAfterTakeover (now: number): GrantLedger {
  return new GrantLedger({ startsAt: now + GRANT_LEASE_MS + COLD_ACCOUNTING_WINDOW_MS })
}

export class LeasedGrantLedger {
  private readonly lease: LeaderLease
  private readonly now: () => number
  private term: number | undefined
  private ledger: GrantLedger | undefined
  private acquiredLease: AcquiredLease | undefined
  private acquiring: Promise<AcquiredLease | undefined> | undefined

  constructor (private readonly options: LeasedGrantLedgerOptions) {
    const { leadingTerm, confirmLeadership, leaseMs = GRANT_LEASE_MS } = options
    this.now = options.now ?? (() => performance.now())
    this.lease = new LeaderLease({ leaseMs, leadingTerm, confirmLeadership, now: this.now })
  }

  /** Updates the term and removes idle endpoints. Frequent calls detect the start of a term with less delay. */
  observeTerm (): void {
    const term = this.lease.observeTerm()
    const now = this.now()
    if (term !== this.term) {
      this.term = term
      this.ledger = term === undefined ? undefined : (this.options.createLedger ?? createLedgerAfterTakeover)(now)
    }
    this.ledger?.sweep(now)
  }

  /** Returns the ledger, for use in the same turn of the event loop. Returns undefined while this process may not grant. */
  async acquire (): Promise<GrantLedger | undefined> {
    if (!this.isLeaseActive()) {
      this.acquiring ??= this.lease.acquire().finally(() => { this.acquiring = undefined })
      this.acquiredLease = await this.acquiring
    }
    this.observeTerm()
    return this.isLeaseActive() ? this.ledger : undefined
  }

  /** Number of endpoints whose grants this process counts. */
  get endpointCount (): number {
    return this.ledger?.endpointCount ?? 0
  }

  private isLeaseActive (): boolean {
    return this.acquiredLease !== undefined && this.lease.isValid(this.acquiredLease)
  }
}
