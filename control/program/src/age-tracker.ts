/** Measures how long this process has observed each key, for keys without a timestamp. */

export class AgeTracker<Key> {
  private firstSeenAt = new Map<Key, number>()

  /** Records the keys that are present now. Returns those that have been present for longer than `ageMs`. */
  findOlderThan (ageMs: number, present: Iterable<Key>, now: number): Key[] {
    this.firstSeenAt = new Map([...present].map((key) => [key, this.firstSeenAt.get(key) ?? now]))
    return [...this.firstSeenAt].filter(([, firstSeenAt]) => now - firstSeenAt > ageMs).map(([key]) => key)
  }

  /** Restarts all ages at the next call of `findOlderThan`. */
  reset (): void {
    this.firstSeenAt.clear()
  }
}
