/**
 * Counts the entries that share the budgets of the deployment. Each control process counts the entries that are linked to it.
 * A control process that has just started or is disconnected counts too few, and with its count an entry would take too large a
 * share of each budget.
 */

/** Time within which control notices that an entry is disconnected, in ms. */
const LINK_SILENCE_MS = 3000
/** Minimum time after a report for which an entry is confirmed, in ms: longer than two intervals at which control reports the count. */
const MIN_CONFIRMED_MS = 5000

export interface EntryCountOptions {
  /** The longest time for which a budget counts what was used, in ms. */
  windowMs: number
  /** Returns the total time for which the box was suspended, which the monotonic clock of `now` does not count, in ms. */
  suspendedMs: () => number
}

interface Count {
  entries: number
  reportedAt: number
}

export class EntryCount {
  /** By the address of the control process. */
  private readonly counts = new Map<string, Count>()
  /** Since when reports have confirmed this process without a gap; suspensions are not included, so that they can't shorten the wait. */
  private confirmedSince = -Infinity
  /** Until when the latest report confirms this process; suspensions are included. */
  private confirmedUntil = -Infinity

  constructor (private readonly options: EntryCountOptions) {}

  /** Records the count that the control process at an address has reported. */
  record (address: string, entries: number, now: number): void {
    const known = this.counts.get(address)
    // A lower count does not replace a higher one before that expires: entries that reconnect are missing for a moment.
    if (known !== undefined && known.entries > entries && now - known.reportedAt <= this.validMs) return
    this.counts.set(address, { entries, reportedAt: now })
  }

  /**
   * Returns the highest count that has not expired; at least 1.
   * @param hasMajority whether most control processes are linked; counts do not expire while they are not
   */
  count (hasMajority: boolean, now: number): number {
    if (hasMajority) {
      for (const [address, { reportedAt }] of this.counts) {
        if (now - reportedAt > this.validMs) this.counts.delete(address)
      }
    }
    return Math.max(1, ...[...this.counts.values()].map(({ entries }) => entries))
  }

  /** Records that a count was received while most control processes were linked. */
  confirm (now: number): void {
    if (!this.isConfirmed(now)) this.confirmedSince = now
    this.confirmedUntil = now + this.options.suspendedMs() + this.confirmedMs
  }

  /**
   * Whether this process may use its share of the budgets: most control processes have counted it for a window. Before that, an earlier
   * process of the same box may just have used the share, and not all other entries count this one yet. An entry that has not been
   * counted lately may be missing in the counts of the others, which then use its share.
   */
  hasShare (now: number): boolean {
    return this.isConfirmed(now) && now - this.confirmedSince >= this.options.windowMs
  }

  private isConfirmed (now: number): boolean {
    return now + this.options.suspendedMs() <= this.confirmedUntil
  }

  /** Time after a report by a majority for which this process is confirmed, in ms. */
  private get confirmedMs (): number {
    return Math.max(this.options.windowMs, MIN_CONFIRMED_MS)
  }

  /**
   * Time after which a count that was not reported again expires, in ms. A disconnected entry may use its share until it is no longer
   * confirmed, and what it has sent then counts for another window.
   */
  private get validMs (): number {
    return this.confirmedMs + this.options.windowMs + LINK_SILENCE_MS
  }
}
