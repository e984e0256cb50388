/**
 * Counts the entries that share the budgets of the deployment. Each control process counts the entries that are linked to it.
 * A control process that has just started or is disconnected counts too few, and with its count an entry would take too large a
 * share of each budget.
 */

/** A count that is not reported again within this time expires, in ms: as long as the longest window of a budget. */
const VALID_MS = 10_000

interface Count {
  entries: number
  reportedAt: number
}

export class EntryCount {
  /** By the address of the control process. */
  private readonly counts = new Map<string, Count>()

  /** Records the count that the control process at an address has reported. */
  record (address: string, entries: number, now: number): void {
    const known = this.counts.get(address)
    // A lower count does not replace a higher one before that expires: entries that reconnect are missing for a moment.
    if (known !== undefined && known.entries > entries && now - known.reportedAt <= VALID_MS) return
    this.counts.set(address, { entries, reportedAt: now })
  }

  /**
   * Returns the highest count that has not expired.
   * @param hasMajority whether most control processes are linked; counts do not expire while they are not
   */
  count (hasMajority: boolean, now: number): number {
    if (hasMajority) {
      for (const [address, { reportedAt }] of this.counts) {
        if (now - reportedAt > VALID_MS) this.counts.delete(address)
      }
    }
    return Math.max(1, ...[...this.counts.values()].map(({ entries }) => entries))
  }
}
