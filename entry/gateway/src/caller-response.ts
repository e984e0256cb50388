/** The HTTP response to a caller: the complete response of an endpoint, a stream event by event, or an error of this process. */
import { type ServerResponse } from 'node:http'
import { abortResponse } from '@gullwall/transport.http-server'
import { type Headers } from './dialect.ts'

const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer', 'upgrade', 'proxy-connection'])

/** An error response that this process generates. */
export interface ErrorResponse {
  status: number
  code: string
  message: string
  ran: 'no' | 'unknown' | 'partly'
  /** Delay after which the caller may retry, in ms. */
  retryAfterMs?: number
}

export class CallerResponse {
  constructor (private readonly response: ServerResponse, private readonly requestId: string, private readonly isStopping: () => boolean) {}

  get hasBegun (): boolean {
    return this.response.headersSent
  }

  /** Whether the caller has disconnected. */
  get isClosed (): boolean {
    return this.response.destroyed || this.response.closed || this.response.socket?.readableEnded === true
  }

  /** Calls the listener when the caller disconnects before the response is complete; immediately if it has disconnected already. */
  onDisconnected (listener: () => void): void {
    if (this.isClosed) {
      listener()
      return
    }
    this.response.once('close', () => {
      if (!this.response.writableFinished) listener()
    })
  }

  /** Sends a complete response. */
  sendComplete (status: number, headers: Headers, body: Buffer): void {
    if (this.isClosed) return
    this.writeHead(status, headers, { 'content-length': String(body.length) })
    this.response.end(body)
  }

  /** Sends the head of a streamed response. */
  beginStream (status: number, headers: Headers): void {
    if (this.isClosed) return
    this.writeHead(status, headers, {})
    this.response.flushHeaders()
  }

  /** Writes complete events. Returns false if the caller reads too slowly; writing should then wait for `onceDrained`. */
  writeEvents (bytes: Buffer): boolean {
    return this.isClosed || this.response.write(bytes)
  }

  onceDrained (listener: () => void): void {
    this.response.once('drain', listener)
  }

  endStream (remainder: Buffer): void {
    if (!this.isClosed) this.response.end(remainder.length > 0 ? remainder : undefined)
  }

  /** Closes the connection, so that the caller can't mistake a partial response for a complete one. */
  abort (): void {
    abortResponse(this.response)
  }

  /** Sends an error of this process. A response that has begun is aborted instead. */
  sendError (error: ErrorResponse): void {
    if (this.isClosed) return
    if (this.hasBegun) {
      this.abort()
      return
    }
    const { status, code, message, ran, retryAfterMs } = error
    const body = Buffer.from(JSON.stringify({ error: { code, message, ran, requestId: this.requestId } }))
    const headers: Headers = { 'content-type': 'application/json' }
    if (retryAfterMs !== undefined) headers['retry-after'] = (retryAfterMs / 1000).toFixed(3)
    this.writeHead(status, headers, { 'content-length': String(body.length) })
    this.response.end(body)
  }

  private writeHead (status: number, headers: Headers, added: Headers): void {
    const sent: Record<string, string | string[]> = {}
    for (const [name, value] of Object.entries({ ...headers, ...added })) {
      if (value === undefined || (CONNECTION_HEADERS.has(name) && added[name] === undefined)) continue
      sent[name] = value
    }
    // A process that is about to stop asks callers to open a new connection.
    if (this.isStopping()) sent['connection'] = 'close'
    this.response.writeHead(status, sent)
  }
}
