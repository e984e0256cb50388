/** A list that stays sorted while items come and go; a change costs one binary search and one move of what lies behind. */
export class SortedList<T> {
  private readonly list: T[] = []
  /** The keys side by side, so that a search does not touch the items. */
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

  /** The index of the first item whose key is at least so high; the length if there is none. */
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
