/** How long each of some things has been there, as far as this process has seen; for things that carry no time. */

export class AgeTracker<Key> {
  private seenAt = new Map<Key, number>()

  /** Looks at what is there now; gives what has been there for longer than a time, in ms. */
  findOlderThan (ageMs: number, present: Iterable<Key>, now: number): Key[] {
    this.seenAt = new Map([...present].map((key) => [key, this.seenAt.get(key) ?? now]))
    return [...this.seenAt].filter(([, seenAt]) => now - seenAt > ageMs).map(([key]) => key)
  }

  /** Counts anew from the next look on. */
  reset (): void {
    this.seenAt.clear()
  }
}
