/**
 * Limits the number of retries at one service to a share of its requests in a sliding window, plus a constant that is divided among
 * the entries of the deployment. Each entry decides alone, so that retries need no messages during a fault. The sum over all entries
 * stays within the limit because a process uses its part of the constant only if no other process can count on the same part.
 */

/** Number of buckets in which the requests of a window are counted. */
const BUCKETS = 10
/** Retries that are sent this much farther apart than the window may still arrive within one window, in ms. */
const ARRIVAL_JITTER_MS = 500

export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  ratio: number
  windowMs: number
  /** Retries allowed in each window beyond the ratio, by all entries together. */
  slack: number
  /** Returns the number of entries that share the slack; undefined while another process may use the share of this one. */
  entryCount: () => number | undefined
  /** Returns the time of a monotonic clock, in ms. */
  now?: () => number
  /** Returns the total time for which the box was suspended, which the monotonic clock does not count, in ms. */
  suspendedMs?: () => number
}

/**
 * The share of the budget that is used. The rest is a margin: the number of entries is known with a delay, and the requests that allowed
 * a retry are counted in an earlier window than the retry.
 */
const USABLE_SHARE = 0.6

/** Returns the time for which a retry is counted, in ms. */
export function retryMemoryMs (windowMs: number): number {
  return windowMs + ARRIVAL_JITTER_MS
}

interface Bucket {
  slot: number
  requests: number
}

export class RetryBudget {
  private readonly buckets: Bucket[] = []
  /** When each retry was sent that may share a window with the next one, oldest first. */
  private readonly retriesAt: number[] = []
  /** Number of retries that are decided but not sent, since they wait for an endpoint. */
  private reservedCount = 0
  private readonly now: () => number
  private readonly suspendedMs: () => number

  constructor (private readonly options: RetryBudgetOptions) {
    this.now = options.now ?? (() => performance.now())
    this.suspendedMs = options.suspendedMs ?? (() => 0)
  }

  /** Records a request for the service, or the part of one that the weights of its route direct there. */
  recordRequest (part = 1): void {
    this.bucket().requests += part
  }

  /** Whether a retry may be reserved that leaves a share of the budget, from 0 to 1, for others. */
  allows (keptShare = 0): boolean {
    return this.remaining >= 1 + keptShare * this.total
  }

  /** Reserves one retry until it is sent or cancelled; returns false if none is left. */
  tryReserve (): boolean {
    if (!this.allows()) return false
    this.reservedCount += 1
    return true
  }

  /** Counts a reserved retry from now on. */
  recordSent (): void {
    this.reservedCount -= 1
    this.retriesAt.push(this.now())
  }

  /** Gives up a reserved retry. */
  cancel (): void {
    this.reservedCount -= 1
  }

  /** Whether nothing is counted, so that a new budget would allow the same. */
  get isIdle (): boolean {
    return this.countRequests() === 0 && this.countRetries() === 0
  }

  /** The number of retries that may still be reserved now. */
  get remaining (): number {
    return this.total - this.countRetries()
  }

  /** The number of retries in a window. */
  private get total (): number {
    return USABLE_SHARE * (this.options.ratio * this.countRequests() + this.slackShare)
  }

  /** The part of the slack that this process may use. */
  private get slackShare (): number {
    const entries = this.options.entryCount()
    return entries === undefined ? 0 : this.options.slack / Math.max(1, entries)
  }

  private countRequests (): number {
    this.bucket()
    return this.buckets.reduce((total, { requests }) => total + requests, 0)
  }

  private countRetries (): number {
    const { retriesAt } = this
    const firstCounted = this.now() - retryMemoryMs(this.options.windowMs)
    while (retriesAt[0] !== undefined && retriesAt[0] < firstCounted) retriesAt.shift()
    return retriesAt.length + this.reservedCount
  }

  private bucket (): Bucket {
    const slot = Math.floor((this.now() + this.suspendedMs()) / (this.options.windowMs / BUCKETS))
    while (this.buckets[0] !== undefined && this.buckets[0].slot <= slot - BUCKETS) this.buckets.shift()
    const last = this.buckets.at(-1)
    if (last?.slot === slot) return last
    const fresh = { slot, requests: 0 }
    this.buckets.push(fresh)
    return fresh
  }
}
