/** The endpoints that have announced that they leave: a part of the replicated state, so that no restart and no lost disk forgets one. */
import { type Leave } from './commands.ts'

/**
 * Remembered leaves. The oldest gives way: a heartbeat from before a leave arrives seconds late at most, and so many endpoints leave within
 * minutes where all 12,000 of the largest deployment are replaced. At some 150 bytes each they add 0.6 MB to a snapshot.
 */
const MAX_LEAVES = 4096
const STATE_ORDER = { draining: 1, gone: 2 }

/** A leave with the index of the entry that brought it. */
interface StoredLeave extends Leave {
  index: number
}

/** What a snapshot holds of leaves. */
export interface LeavesSnapshot {
  forgottenIndex: number
  leaves: StoredLeave[]
}

export class Leaves {
  private readonly leaves = new Map<string, StoredLeave>()
  /** The index of the latest entry whose leave has given way; all leaves of later entries are remembered. */
  forgottenIndex = 0

  get size (): number {
    return this.leaves.size
  }

  /** Whether an incarnation is known to have come to a state, or a later one. */
  has (incarnation: string, state: Leave['state']): boolean {
    const known = this.leaves.get(incarnation)
    return known !== undefined && STATE_ORDER[known.state] >= STATE_ORDER[state]
  }

  all (): Leave[] {
    return [...this.leaves.values()]
  }

  /** Records leaves of one entry, and returns those that are news. */
  record (index: number, leaves: readonly Leave[]): Leave[] {
    const news = leaves.filter(({ incarnation, state }) => !this.has(incarnation, state))
    for (const leave of news) {
      this.leaves.delete(leave.incarnation)
      this.leaves.set(leave.incarnation, { ...leave, index })
    }
    for (const [incarnation, leave] of this.leaves) {
      if (this.leaves.size <= MAX_LEAVES) break
      this.forgottenIndex = Math.max(this.forgottenIndex, leave.index)
      this.leaves.delete(incarnation)
    }
    return news
  }

  createSnapshot (): LeavesSnapshot {
    return { forgottenIndex: this.forgottenIndex, leaves: [...this.leaves.values()] }
  }

  /** Replaces all leaves. Snapshots of processes that do not know of leaves have none; those that are known here stay then. */
  restore (snapshot: LeavesSnapshot | undefined): void {
    if (snapshot === undefined) return
    this.leaves.clear()
    this.forgottenIndex = snapshot.forgottenIndex
    for (const leave of snapshot.leaves) this.leaves.set(leave.incarnation, leave)
  }
}
