/** What one entry counts: requests that began to run, by window and organisation. */
import { type UsageWindow } from '@gullwall/transport.messages'

/** So many windows are kept and can be told again; by then the report of the oldest was due. */
const KEPT_WINDOWS = 5

/** One count, and whether it has changed since it was last told. */
interface Count {
  begun: number
  isTold: boolean
}

export class UsageCounter {
  private readonly windows = new Map<number, Map<string, Count>>()

  /** Counts one request. */
  note (window: number, organisation: string): void {
    const counts = this.countsOf(window)
    const count = counts.get(organisation) ?? { begun: 0, isTold: false }
    counts.set(organisation, { begun: count.begun + 1, isTold: false })
  }

  /** Gives the counts that were not told yet, as totals of their window, and takes them for told. */
  takeUntold (): UsageWindow[] {
    return this.take((count) => !count.isTold)
  }

  /** Gives all counts, for a control process that was told nothing before, and takes them for told. */
  takeAll (): UsageWindow[] {
    return this.take(() => true)
  }

  private take (isMeant: (count: Count) => boolean): UsageWindow[] {
    const taken: UsageWindow[] = []
    for (const [window, counts] of this.windows) {
      const meant = [...counts].filter(([, count]) => isMeant(count))
      for (const [, count] of meant) count.isTold = true
      if (meant.length > 0) taken.push({ window, counts: meant.map(([organisation, { begun }]) => ({ organisation, begun })) })
    }
    return taken
  }

  private countsOf (window: number): Map<string, Count> {
    const known = this.windows.get(window)
    if (known !== undefined) return known
    const counts = new Map<string, Count>()
    this.windows.set(window, counts)
    const oldest = Math.max(...this.windows.keys()) - KEPT_WINDOWS
    for (const other of this.windows.keys()) if (other <= oldest) this.windows.delete(other)
    return counts
  }
}
