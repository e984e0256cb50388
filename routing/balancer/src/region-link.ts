/**
 * What requests may take of the link between regions, and what it costs them. All requests of a deployment together get a
 * share of the link, and each entry its part of that. The less of its part is left, the dearer a byte: small requests still
 * cross when large ones no longer do.
 */

/** Where nobody says what the link carries: a little less than the narrowest that is known (42). In Mbit/s. */
const DEFAULT_MBIT_PER_S = 40
/** What is left to the quorum, to documents, leases and words between processes, and to other users of the link. */
const SHARE_FOR_REQUESTS = 0.5
/** How much of its part an entry may send at once, in ms of it. */
const BURST_MS = 1000
/**
 * A byte between regions costs four times one between data centres, for which a request of usual size (4 kB with its answer)
 * is charged 20 ms.
 */
const MS_PER_KB = 20
/** How many times as dear the last bytes of a part are as the first. */
const DEAREST = 10
/** What a round trip is taken for until one was measured, in ms. */
const UNMEASURED_ROUND_TRIP_MS = 20
const ROUND_TRIP_WEIGHT = 0.2
const BITS_PER_BYTE = 8
const BYTES_PER_KB = 1000
const MS_PER_S = 1000

export interface RegionLinkOptions {
  /** What the link carries each way, in Mbit/s, of all traffic together. */
  mbitPerS?: number | undefined
  /** How many entries share it. */
  entryCount: () => number
  now?: () => number
}

export class RegionLink {
  /** From a connection's opening to its answer, in ms. */
  roundTripMs = UNMEASURED_ROUND_TRIP_MS
  private readonly now: () => number
  /** Bytes that are taken and not yet earned again; more than the allowance where answers were longer than expected. */
  private takenBytes = 0
  private takenAt: number
  private isMeasured = false

  constructor (private readonly options: RegionLinkOptions) {
    this.now = options.now ?? (() => performance.now())
    this.takenAt = this.now()
  }

  /** What it costs to send so many bytes, answer included, in ms; undefined where this entry's part has no room for them. */
  costMs (bytes: number): number | undefined {
    const allowance = this.bytesPerMs * BURST_MS
    const taken = this.taken()
    // What is larger than a whole part crosses when nothing else does.
    if (taken > 0 && taken + bytes > allowance) return undefined
    const scarcity = 1 + (DEAREST - 1) * Math.min(1, taken / allowance)
    return this.roundTripMs + MS_PER_KB * scarcity * bytes / BYTES_PER_KB
  }

  /** Notes bytes that cross; negative where fewer came than were noted before. */
  recordBytes (bytes: number): void {
    this.takenBytes = Math.max(0, this.taken() + bytes)
    this.takenAt = this.now()
  }

  /** Notes how long it took to connect to another region; more traffic than the link carries shows here. */
  recordRoundTrip (ms: number): void {
    this.roundTripMs = this.isMeasured ? this.roundTripMs + ROUND_TRIP_WEIGHT * (ms - this.roundTripMs) : ms
    this.isMeasured = true
  }

  /** This entry's part of the link. */
  private get bytesPerMs (): number {
    const { mbitPerS = DEFAULT_MBIT_PER_S, entryCount } = this.options
    return SHARE_FOR_REQUESTS * mbitPerS * 1e6 / BITS_PER_BYTE / MS_PER_S / Math.max(1, entryCount())
  }

  private taken (): number {
    return Math.max(0, this.takenBytes - this.bytesPerMs * (this.now() - this.takenAt))
  }
}
