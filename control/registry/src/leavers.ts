/** Incarnations that have said that they drain or are gone, beyond their leases: a heartbeat from before that may still arrive. */
import { type Lease } from '@gullwall/transport.messages'

export const STATE_ORDER = { ready: 0, draining: 1, gone: 2 }

/** An incarnation that is gone is remembered for so long, so that a late heartbeat does not bring it back, in ms. */
export const TOMBSTONE_MS = 120_000
/**
 * So many are remembered: more than the 2,100 endpoints that are replaced in a day of the largest deployment. The oldest gives way.
 */
const MAX_LEAVERS = 4096

export interface Leaver {
  state: Lease['state']
  /** Whether the endpoint tells its lives; another start of one that does not has the same name. */
  hasLife: boolean
  /** When it was heard first, by this process's monotonic clock. */
  since: number
}

export class Leavers {
  private readonly leavers = new Map<string, Leaver>()

  remember (incarnation: string, leaver: Leaver): void {
    const known = this.leavers.get(incarnation)
    if (known !== undefined && STATE_ORDER[known.state] >= STATE_ORDER[leaver.state] && known.hasLife) return
    this.leavers.delete(incarnation)
    this.leavers.set(incarnation, leaver)
    const [oldest] = this.leavers.keys()
    if (this.leavers.size > MAX_LEAVERS && oldest !== undefined) this.leavers.delete(oldest)
  }

  /** A lease of an incarnation that is not held any more, in the state that it had come to. */
  asRemembered (lease: Lease, now: number): Lease {
    const leaver = this.leavers.get(lease.incarnation)
    if (leaver === undefined || STATE_ORDER[leaver.state] <= STATE_ORDER[lease.state]) return lease
    const isAnotherStart = !leaver.hasLife && now - leaver.since > TOMBSTONE_MS
    return isAnotherStart ? lease : { ...lease, state: leaver.state }
  }
}
