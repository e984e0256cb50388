/** What a gateway still has to tell the holders of its streams. */
import { type BindingRecord, type BindingTable } from './binding-table.ts'

export class BindingOutbox<Holder> {
  /** Records since the last time at which holders were told. */
  private pending: BindingRecord[] = []
  /** Holders that were told everything up to that time. */
  private upToDate: ReadonlySet<Holder> = new Set()

  /** @param table the bindings that this gateway knows; a new holder is told all of them */
  constructor (private readonly table: BindingTable) {}

  add (record: BindingRecord): void {
    this.pending.push(record)
  }

  /** Whether a holder would be told anything. */
  isDue (holders: readonly Holder[]): boolean {
    return this.pending.length > 0 || holders.some((holder) => !this.upToDate.has(holder))
  }

  /** Returns what each of the current holders has to be told; it counts as told from then on. */
  take (holders: readonly Holder[]): Map<Holder, BindingRecord[]> {
    const due = new Map(holders.map((holder) => [holder, this.upToDate.has(holder) ? this.pending : [...this.table.valids()]]))
    // Without any holder nothing is kept here: the next one is told everything from the table.
    this.pending = []
    this.upToDate = new Set(holders)
    return due
  }
}
