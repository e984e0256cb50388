/**
 * How many entries share the deployment's budgets. Each control process counts those that are linked to it; one that has just
 * started or is cut off counts too few, and an entry that believed it would take too large a part of each budget.
 */

/** A count that was not told again for so long counts no more, in ms; the longest window of a budget that is set (10 s). */
const VALID_MS = 10_000

interface Word {
  entries: number
  toldAt: number
}

export class EntryCount {
  private readonly words = new Map<string, Word>()

  /** Takes the count of the control process at an address. */
  record (address: string, entries: number, now: number): void {
    const known = this.words.get(address)
    // A lower count replaces a higher one only once that is old: entries that link anew are missing for a moment.
    if (known !== undefined && known.entries > entries && now - known.toldAt <= VALID_MS) return
    this.words.set(address, { entries, toldAt: now })
  }

  /**
   * The highest count that holds.
   * @param hearsMost whether most control processes are linked; while they are not, nothing that was told is forgotten
   */
  count (hearsMost: boolean, now: number): number {
    if (hearsMost) {
      for (const [address, { toldAt }] of this.words) {
        if (now - toldAt > VALID_MS) this.words.delete(address)
      }
    }
    return Math.max(1, ...[...this.words.values()].map(({ entries }) => entries))
  }
}
