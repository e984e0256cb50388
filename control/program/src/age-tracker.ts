/** Measures how long this process has observed each key, for keys without a timestamp. */

export class AgeTracker<Key> {
  private firstSeenAt = new Map<Key, number>()

  /** Records the keys that are present now. Returns those that have been present for longer than `ageMs`. */
  findOlderThan (ageMs: number, present: Iterable<Key>, now: number): Key[] {
    this.update(present, now)
    return [...this.firstSeenAt].filter(([, firstSeenAt]) => now - firstSeenAt > ageMs).map(([key]) => key)
  }

  /** Records the keys that are present now, without any others. */
  update (present: Iterable<Key>, now: number): void {
    this.firstSeenAt = new Map([...present].map((key) => [key, this.firstSeenAt.get(key) ?? now]))
  }

  /** Returns for how long a key has been present, in ms; 0 if it was not at the last update. */
  ageOf (key: Key, now: number): number {
    return now - (this.firstSeenAt.get(key) ?? now)
  }

  /** Restarts all ages at the next call of `findOlderThan`. */
  reset (): void {
    this.firstSeenAt.clear()
  }
}
