/** When a member takes a snapshot: by the number of entries applied since the last, or by their size. */

export interface SnapshotLimits {
  /** A snapshot is taken when so many entries have been applied since the last. */
  snapshotEvery?: number
  /** Or when the entries applied since then hold so many characters. */
  snapshotCharacters?: number
  /** The length of the parts in which a leader sends its snapshot. */
  snapshotPartBytes?: number
}

const DEFAULT_SNAPSHOT_EVERY = 4096
const DEFAULT_SNAPSHOT_CHARACTERS = 8 * 1024 * 1024

export class SnapshotTrigger {
  private characters = 0

  constructor (private readonly limits: SnapshotLimits) {}

  /** Notes an applied entry. */
  note (characters: number): void {
    this.characters += characters
  }

  isDue (entries: number): boolean {
    const { snapshotEvery = DEFAULT_SNAPSHOT_EVERY, snapshotCharacters = DEFAULT_SNAPSHOT_CHARACTERS } = this.limits
    return entries >= snapshotEvery || this.characters >= snapshotCharacters
  }

  taken (): void {
    this.characters = 0
  }
}
