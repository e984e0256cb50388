/** Numbers from a seed: the same seed gives the same plan of faults and the same load. */

const STEP = 0x6d2b79f5
const RANGE = 2 ** 32

export class Random {
  constructor (private state: number) {}

  /** At least 0, below 1 (mulberry32). */
  next (): number {
    this.state = (this.state + STEP) | 0
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE
  }

  between (from: number, to: number): number {
    return from + (to - from) * this.next()
  }

  chance (share: number): boolean {
    return this.next() < share
  }

  /** @throws if the list is empty */
  pick<T> (list: readonly T[]): T {
    const item = list[Math.floor(this.next() * list.length)]
    if (item === undefined) throw new Error('nothing to pick from')
    return item
  }

  /** Some different items of a list, in no order. */
  some<T> (list: readonly T[], count: number): T[] {
    const left = [...list]
    const picked: T[] = []
    while (picked.length < count && left.length > 0) {
      picked.push(...left.splice(Math.floor(this.next() * left.length), 1))
    }
    return picked
  }
}
