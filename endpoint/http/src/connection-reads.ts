/**
 * Bounds the bytes of a connection that no part of a response comes out of. The HTTP client bounds header lines and trailers, but neither
 * a status line, nor blank lines before it, nor the extension or the size of a chunk, nor blank lines while no request is sent.
 */
import { type Socket } from 'node:net'
import { GullwallError } from '@gullwall/core.error'

/**
 * Maximum number of bytes that a connection takes for a head with its interim heads, or between two bytes of a body. The HTTP client takes
 * 16 KiB of header lines; a response that needs more without any progress never gets on.
 */
export const MAX_OVERHEAD_BYTES = 64 * 1024
/** Time from the first to the last byte of a head, in ms. Servers write a head at once; one that comes slowly for longer has no end. */
export const MAX_HEAD_MS = 2000

/** Where bytes came without end. */
export type EndlessPlace =
  /** In a status line, header lines, or blank lines before them. */
  | 'head'
  /** In interim heads. */
  | 'interim'
  /** In the size or the extension of a chunk, or in trailers. */
  | 'framing'
  /** In a body that is kept until it is complete. */
  | 'body'
  /** In one event of a stream. */
  | 'event'
  /** In the body of a response whose head says all. */
  | 'rejection'
  /** Behind a response, while no request waited for one. */
  | 'idle'

/** The error with which a connection is closed whose bytes have no end. */
export class EndlessResponseError extends GullwallError {
  constructor (readonly place: EndlessPlace, message: string) {
    super('ERR_GULLWALL_ENDLESS_RESPONSE', message, { step: 'read response' })
  }
}

/** The code of the HTTP client's own error for header lines or trailers that are too long. */
const HEADERS_OVERFLOW = 'UND_ERR_HEADERS_OVERFLOW'

/** Returns where bytes came without end, according to the error that ended a response; undefined if they did not. */
export function findEndlessPlace (error: Error, hasHead: boolean): EndlessPlace | undefined {
  if (error instanceof EndlessResponseError) return error.place
  return (error as NodeJS.ErrnoException).code === HEADERS_OVERFLOW ? (hasHead ? 'framing' : 'head') : undefined
}

/** The connection whose bytes the HTTP client is parsing. */
let reading: ConnectionReads | undefined

/** Returns the connection whose bytes are being parsed, from a callback of the HTTP client for a response head. */
export function findCurrentReads (): ConnectionReads | undefined {
  return reading
}

/** The part of the HTTP client's controller that holds a response back. */
export interface PausableResponse {
  pause: () => void
  resume: () => void
}

/** What has been read from one connection. */
export class ConnectionReads {
  private phase: 'idle' | 'head' | 'body' = 'idle'
  /** Bytes that the parser had taken when the response last made progress. */
  private progressBytes = 0
  /** When the first byte of the present head came; undefined before it. */
  private headBeganAt: number | undefined
  /** Bytes that had been received and written when the latest response ended. */
  private atRest = { received: 0, written: 0 }
  /** The response that is paused; undefined if none is. */
  private paused: PausableResponse | undefined
  private hasEnded = false

  constructor (private readonly socket: Socket) {}

  watch (): void {
    // This listener has to run before that of the HTTP client, which parses the bytes.
    this.socket.prependListener('readable', () => this.handleReadable())
    this.socket.prependListener('end', () => this.handleEnd())
  }

  /** Pauses a response until it is resumed or its connection ends. */
  pause (response: PausableResponse): void {
    if (this.hasEnded) return
    this.paused = response
    response.pause()
  }

  resume (response: PausableResponse): void {
    // A caller may drain only after the connection has gone on to another response.
    if (this.paused === response) this.paused = undefined
    response.resume()
  }

  /** Resumes a paused response. The HTTP client fails an assertion, and the process ends, if the end of a connection finds one paused. */
  private handleEnd (): void {
    this.hasEnded = true
    this.paused?.resume()
    this.paused = undefined
  }

  /** Records an interim head: another head is expected behind it. */
  recordInterimHead (): void {
    this.headBeganAt = undefined
  }

  /** Records the final head, or a part of the body. */
  recordProgress (): void {
    this.phase = 'body'
    this.progressBytes = this.parsedBytes
  }

  /** Records that the response is complete. */
  recordEnd (): void {
    this.phase = 'idle'
    this.headBeganAt = undefined
    this.atRest = { received: this.socket.bytesRead, written: this.socket.bytesWritten }
  }

  /** Number of bytes that the parser has taken; the others wait while the connection is paused. */
  private get parsedBytes (): number {
    return this.socket.bytesRead - this.socket.readableLength
  }

  private handleReadable (): void {
    const { socket } = this
    if (this.phase === 'idle' && socket.bytesRead > this.atRest.received) {
      if (socket.bytesWritten === this.atRest.written) {
        this.close('idle', 'bytes came while no request was sent')
        return
      }
      this.phase = 'head'
      this.progressBytes = this.atRest.received
    }
    if (this.phase === 'head') this.headBeganAt ??= performance.now()
    reading = this
    process.nextTick(() => {
      if (reading === this) reading = undefined
      this.checkProgress()
    })
  }

  /** Closes the connection if the bytes that were just parsed brought the response no further and are too many by now. */
  private checkProgress (): void {
    if (this.phase === 'idle' || this.socket.destroyed) return
    const overheadBytes = this.parsedBytes - this.progressBytes
    const place = this.phase === 'head' ? 'head' : 'framing'
    if (overheadBytes > MAX_OVERHEAD_BYTES) this.close(place, `${overheadBytes} bytes brought the response no further`)
    else if (this.headBeganAt !== undefined && this.phase === 'head' && performance.now() - this.headBeganAt > MAX_HEAD_MS) {
      this.close(place, `the head of the response was not complete within ${MAX_HEAD_MS} ms`)
    }
  }

  private close (place: EndlessPlace, message: string): void {
    this.socket.destroy(new EndlessResponseError(place, message))
  }
}
