/** A list that stays sorted. Adding or removing an item takes a binary search and moves the items behind it. */
export class SortedList<T> {
  private readonly list: T[] = []
  /** The keys in the order of the items, so that a search doesn't access the items. */
  private readonly listKeys: number[] = []

  constructor (private readonly keyOf: (item: T) => number) {}

  get items (): readonly T[] {
    return this.list
  }

  get keys (): readonly number[] {
    return this.listKeys
  }

  add (item: T): void {
    const key = this.keyOf(item)
    const at = this.lowerBound(key)
    this.list.splice(at, 0, item)
    this.listKeys.splice(at, 0, key)
  }

  remove (item: T): void {
    const at = this.list.indexOf(item, this.lowerBound(this.keyOf(item)))
    if (at < 0) return
    this.list.splice(at, 1)
    this.listKeys.splice(at, 1)
  }

  /** Returns the index of the first item whose key is at least `key`; the length of the list if there is none. */
  lowerBound (key: number): number {
    let low = 0
    let high = this.listKeys.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.listKeys[middle] ?? Infinity) < key) low = middle + 1
      else high = middle
    }
    return low
  }
}
