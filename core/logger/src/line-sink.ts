/**
 * Writes log lines to a stream without ever holding up the process: lines that a
 * slow reader has not taken are kept up to a bound, and counted beyond it.
 */
import { type Writable } from 'node:stream'

const MAX_WAITING_BYTES = 256 * 1024
/** Volume that is written at most, in bytes a second; errors and what follows them need room in any minute. */
const MAX_BYTES_PER_SECOND = 128 * 1024
const WINDOW_MS = 1000

export interface LineSinkOptions {
  stream: Writable
  maxWaitingBytes?: number
  maxBytesPerSecond?: number
  now?: () => number
  /** Gives the line that tells how many were left out. */
  droppedLine: (dropped: number) => string
}

export class LineSink {
  /** Lines left out since the start. */
  dropped = 0
  private untold = 0
  private windowAt = -Infinity
  private windowBytes = 0
  private readonly now: () => number

  constructor (private readonly options: LineSinkOptions) {
    this.now = options.now ?? (() => performance.now())
    // A reader that has gone away must not end the process.
    options.stream.on('error', () => {})
  }

  write (line: string): void {
    if (!this.hasRoomFor(line.length)) {
      this.dropped += 1
      this.untold += 1
      return
    }
    if (this.untold > 0) {
      const { untold } = this
      this.untold = 0
      this.options.stream.write(this.options.droppedLine(untold))
    }
    this.windowBytes += line.length
    this.options.stream.write(line)
  }

  private hasRoomFor (bytes: number): boolean {
    const { stream, maxWaitingBytes = MAX_WAITING_BYTES, maxBytesPerSecond = MAX_BYTES_PER_SECOND } = this.options
    const now = this.now()
    if (now - this.windowAt >= WINDOW_MS) {
      this.windowAt = now
      this.windowBytes = 0
    }
    return stream.writableLength + bytes <= maxWaitingBytes && this.windowBytes + bytes <= maxBytesPerSecond
  }
}

/** Standard output, as a pipe that is not waited for where the runtime allows it. */
export function standardOutput (): Writable {
  const stream = process.stdout as Writable & { _handle?: { setBlocking?: (blocking: boolean) => void } }
  // Pipes are written synchronously by default: a reader that stops would stop this process.
  stream._handle?.setBlocking?.(false)
  return stream
}
