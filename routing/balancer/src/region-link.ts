/**
 * The budget of requests on the link between regions, and its price. All requests of a deployment together get a share of the link,
 * which the entries divide equally. The price of a byte rises as an entry's budget is used up, so that small requests still cross
 * when large ones don't.
 */

/** The capacity of the link if none is configured, in Mbit/s. */
const DEFAULT_MBIT_PER_S = 40
/** The share of the link for requests. The rest is for the quorum, documents, leases, messages between processes and other users. */
const SHARE_FOR_REQUESTS = 0.5
/** The largest burst, as the time in which an entry's part of the link carries it, in ms. */
const BURST_MS = 1000
/** The price of a kilobyte. It is four times the price between data centres, where a request of 4 kB with its answer costs 20 ms. */
const MS_PER_KB = 20
/** The price of the last bytes of the budget, relative to the first. */
const MAX_SCARCITY = 10
/** The assumed round trip before the first measurement, in ms. */
const UNMEASURED_ROUND_TRIP_MS = 20
const ROUND_TRIP_WEIGHT = 0.2
const BITS_PER_BYTE = 8
const BYTES_PER_KB = 1000
const MS_PER_S = 1000

export interface RegionLinkOptions {
  /** The capacity of the link in each direction for all traffic, in Mbit/s. */
  mbitPerS?: number | undefined
  /** Returns the number of entries that share the link. */
  entryCount: () => number
  /** Returns when control first reported that number, by the clock of `now`; undefined before. */
  countedSince: () => number | undefined
  now?: () => number
}

export class RegionLink {
  /** The time to open a connection to another region, in ms; a moving average. */
  roundTripMs = UNMEASURED_ROUND_TRIP_MS
  private readonly now: () => number
  /** Bytes that count against the budget; more than a burst if answers were longer than expected. */
  private recordedBytes = 0
  private recordedAt: number
  private isMeasured = false

  constructor (private readonly options: RegionLinkOptions) {
    this.now = options.now ?? (() => performance.now())
    this.recordedAt = this.now()
  }

  /** Returns the cost of sending some bytes, answer included, in ms; undefined if this entry's budget has no room for them. */
  costMs (bytes: number): number | undefined {
    if (!this.hasShare()) return undefined
    const allowance = this.bytesPerMs * BURST_MS
    const usedBytes = this.usedBytes()
    // A request that is larger than the whole budget is allowed while the budget is unused.
    if (usedBytes > 0 && usedBytes + bytes > allowance) return undefined
    const scarcity = 1 + (MAX_SCARCITY - 1) * Math.min(1, usedBytes / allowance)
    return this.roundTripMs + MS_PER_KB * scarcity * bytes / BYTES_PER_KB
  }

  /** Records bytes that cross the link; negative to correct an estimate that was too high. */
  recordBytes (bytes: number): void {
    this.recordedBytes = Math.max(0, this.usedBytes() + bytes)
    this.recordedAt = this.now()
  }

  /** Records how long it took to connect to another region. A congested link shows in a longer round trip. */
  recordRoundTrip (ms: number): void {
    this.roundTripMs = this.isMeasured ? this.roundTripMs + ROUND_TRIP_WEIGHT * (ms - this.roundTripMs) : ms
    this.isMeasured = true
  }

  /**
   * Whether this entry may use its part of the link. Right after a start, control may have counted only a few of the entries that started
   * at the same time, and the link still carries what an earlier process of the same box has sent.
   */
  private hasShare (): boolean {
    const countedSince = this.options.countedSince()
    return countedSince !== undefined && this.now() - countedSince >= BURST_MS
  }

  /** The part of the link for requests of this entry. */
  private get bytesPerMs (): number {
    const { mbitPerS = DEFAULT_MBIT_PER_S, entryCount } = this.options
    return SHARE_FOR_REQUESTS * mbitPerS * 1e6 / BITS_PER_BYTE / MS_PER_S / Math.max(1, entryCount())
  }

  private usedBytes (): number {
    return Math.max(0, this.recordedBytes - this.bytesPerMs * (this.now() - this.recordedAt))
  }
}
