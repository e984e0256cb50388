/**
 * The memory of the responses that are kept until they are complete: bodies, and events of streams. A single one is bounded by its size;
 * many at once are bounded here, so that endpoints that write without end can't exhaust the memory of the process.
 */

/** Maximum size of a body that is kept until it is complete. */
export const MAX_BODY_BYTES = 32 * 1024 * 1024
/** Maximum size of one event of a stream: an event has one token or a few, and some a document. */
export const MAX_EVENT_BYTES = 1024 * 1024
/** Time from the first byte of an event to its last, in ms. A server writes an event at once; one that grows for longer has no end. */
export const MAX_EVENT_MS = 10_000
/** Bytes of all responses together beyond which only the largest is received. The program itself takes half of the memory of a gateway. */
export const MAX_KEPT_BYTES = 8 * 1024 * 1024
/** Bytes that each response may have in any case, so that small ones never wait for large ones. */
const UNPAUSED_BYTES = 64 * 1024
/** Time for the largest response while the others wait for it, in ms, since its first byte: it is broken off then. */
const MAX_LARGEST_MS = 1000
const CHECK_INTERVAL_MS = 50

/** The exchange of a response. */
export interface PausableResponse {
  /** Whether the response is paused for the memory of the process, whatever else it is paused for. */
  isPaused: () => boolean
  pause: () => void
  resume: () => void
  /** Ends the response, whose bytes take too much memory. */
  breakOff: (reason: string) => void
}

/** The bytes of one response that are kept. */
export class KeptBytes {
  bytes = 0
  /** When the first of these bytes came, by the monotonic clock. */
  since = 0

  constructor (private readonly memory: ResponseMemory, readonly response: PausableResponse) {}

  /** Reports how many bytes of the response are kept now. */
  update (bytes: number): void {
    if (this.bytes === 0 && bytes > 0) this.since = performance.now()
    this.memory.update(this, bytes)
  }

  /** Reports that nothing of the response is kept any more. */
  release (): void {
    this.memory.update(this, 0)
  }
}

export class ResponseMemory {
  private readonly kept = new Set<KeptBytes>()
  /** Number of bytes that are kept. */
  totalBytes = 0
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly maxBytes = MAX_KEPT_BYTES) {}

  open (response: PausableResponse): KeptBytes {
    return new KeptBytes(this, response)
  }

  update (entry: KeptBytes, bytes: number): void {
    const isSmaller = bytes < entry.bytes
    this.totalBytes += bytes - entry.bytes
    entry.bytes = bytes
    if (bytes > 0) this.kept.add(entry)
    else this.kept.delete(entry)
    if (this.isFull) this.serveLargest(entry)
    else if (isSmaller) this.resumeAll()
  }

  private get isFull (): boolean {
    return this.totalBytes > this.maxBytes
  }

  private get isAnyPaused (): boolean {
    for (const { response } of this.kept) if (response.isPaused()) return true
    return false
  }

  /** Lets only the largest response go on: it is the next to end, by itself or by its bound, and frees the most. */
  private serveLargest (updated: KeptBytes): void {
    const largest = this.findLargest()
    if (updated !== largest && updated.bytes > UNPAUSED_BYTES && !updated.response.isPaused()) updated.response.pause()
    if (largest?.response.isPaused() === true) largest.response.resume()
    this.timer ??= setInterval(() => this.checkLargest(), CHECK_INTERVAL_MS).unref()
  }

  private checkLargest (): void {
    const largest = this.findLargest()
    if (!this.isFull || largest === undefined) {
      clearInterval(this.timer)
      this.timer = undefined
      return
    }
    const tookMs = performance.now() - largest.since
    if (tookMs < MAX_LARGEST_MS || !this.isAnyPaused) return
    largest.response.breakOff(`${largest.bytes} bytes came in ${Math.round(tookMs)} ms without an end, and ${this.totalBytes} are kept of all responses`)
    largest.release()
  }

  private findLargest (): KeptBytes | undefined {
    let largest: KeptBytes | undefined
    for (const entry of this.kept) if (entry.bytes > (largest?.bytes ?? 0)) largest = entry
    return largest
  }

  private resumeAll (): void {
    for (const { response } of this.kept) if (response.isPaused()) response.resume()
  }
}
