/** Decides when this process may grant requests to endpoints, and keeps one grant ledger for each term in which the process leads. */
import { GrantLedger, SPAN_MS } from './grant-ledger.ts'
import { DutyLease, type Fence } from './duty-lease.ts'

/** Length of the lease under which the leader grants, in ms. The leader asks a majority to confirm it at least every half of this time. */
export const GRANT_LEASE_MS = 1000

export interface GrantDutyOptions {
  /** The term in which this process leads; undefined while it does not. */
  leadingTerm: () => number | undefined
  /** Asks a majority whether this process still leads. Resolves once the majority has confirmed it after the call. */
  confirm: () => Promise<unknown>
  now?: () => number
  leaseMs?: number
  /** Creates the ledger of a term that begins now. */
  newLedger?: (now: number) => GrantLedger
}

/** Waits out the lease of the previous leader and the span in which its last grants may still be used. */
function createLedgerAfterTakeover (now: number): GrantLedger {
  return new GrantLedger({ opensAt: now + GRANT_LEASE_MS + SPAN_MS })
}

export class GrantDuty {
  private readonly lease: DutyLease
  private readonly now: () => number
  private term: number | undefined
  private ledger: GrantLedger | undefined
  private fence: Fence | undefined
  private acquiring: Promise<Fence | undefined> | undefined

  constructor (private readonly options: GrantDutyOptions) {
    const { leadingTerm, confirm, leaseMs = GRANT_LEASE_MS } = options
    this.now = options.now ?? (() => performance.now())
    this.lease = new DutyLease({ leaseMs, leadingTerm, confirm, now: this.now })
  }

  /** Updates the term and removes idle endpoints. Frequent calls detect the start of a term with less delay. */
  observe (): void {
    const term = this.lease.observeTerm()
    const now = this.now()
    if (term !== this.term) {
      this.term = term
      this.ledger = term === undefined ? undefined : (this.options.newLedger ?? createLedgerAfterTakeover)(now)
    }
    this.ledger?.sweep(now)
  }

  /** Returns the ledger, for use in the same turn of the event loop. Returns undefined while this process may not grant. */
  async held (): Promise<GrantLedger | undefined> {
    if (!this.isLeaseActive()) {
      this.acquiring ??= this.lease.acquire().finally(() => { this.acquiring = undefined })
      this.fence = await this.acquiring
    }
    this.observe()
    return this.isLeaseActive() ? this.ledger : undefined
  }

  /** Number of endpoints whose grants this process counts. */
  get size (): number {
    return this.ledger?.size ?? 0
  }

  private isLeaseActive (): boolean {
    return this.fence !== undefined && this.lease.isValid(this.fence)
  }
}
