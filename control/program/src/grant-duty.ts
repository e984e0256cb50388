/** When this process may grant requests to cold endpoints, and the ledger that it then keeps: one for each term in which it leads. */
import { GrantLedger, SPAN_MS } from './grant-ledger.ts'
import { DutyLease, type Fence } from './duty-lease.ts'

/** The lease under which the leader grants, in ms. A majority confirms it each half of it at most. */
export const GRANT_LEASE_MS = 1000

export interface GrantDutyOptions {
  /** The term in which this process leads; undefined while it does not. */
  leadingTerm: () => number | undefined
  /** Resolves once a majority has answered that this process still leads, to questions asked after the call. */
  confirm: () => Promise<unknown>
  now?: () => number
  leaseMs?: number
  /** Makes the ledger of a term that begins now. */
  newLedger?: (now: number) => GrantLedger
}

/** Whoever led before may have granted until its lease ran out, and what it granted is used for a span. */
function afterTakeOver (now: number): GrantLedger {
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

  /** Sees whether this process leads; the sooner it sees that, the sooner it may grant. */
  observe (): void {
    const term = this.lease.observeTerm()
    const now = this.now()
    if (term !== this.term) {
      this.term = term
      this.ledger = term === undefined ? undefined : (this.options.newLedger ?? afterTakeOver)(now)
    }
    this.ledger?.sweep(now)
  }

  /** Gives the ledger, to be used in the same turn of the event loop; undefined while this process may not grant. */
  async held (): Promise<GrantLedger | undefined> {
    if (!this.isHeld()) {
      this.acquiring ??= this.lease.acquire().finally(() => { this.acquiring = undefined })
      this.fence = await this.acquiring
    }
    this.observe()
    return this.isHeld() ? this.ledger : undefined
  }

  /** For how many endpoints grants are counted here. */
  get size (): number {
    return this.ledger?.size ?? 0
  }

  private isHeld (): boolean {
    return this.fence !== undefined && this.lease.isValid(this.fence)
  }
}
