/** What the caller gets: an endpoint's whole answer, a stream event by event, or an error of this process. */
import { type ServerResponse } from 'node:http'
import { type Headers } from './dialect.ts'

const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer', 'upgrade', 'proxy-connection'])

/** An error that this process answers with. */
export interface ErrorResponse {
  status: number
  code: string
  message: string
  ran: 'no' | 'unknown' | 'partly'
  /** When it makes sense to ask again, in ms. */
  retryAfterMs?: number
}

export class CallerResponse {
  constructor (private readonly response: ServerResponse, private readonly requestId: string, private readonly isStopping: () => boolean) {}

  get hasBegun (): boolean {
    return this.response.headersSent
  }

  /** Whether the caller has gone. */
  get isClosed (): boolean {
    return this.response.destroyed || this.response.closed || this.response.socket?.readableEnded === true
  }

  /** Calls back once the caller has left before its answer was whole; at once if it has left already. */
  onDisconnected (listener: () => void): void {
    if (this.isClosed) {
      listener()
      return
    }
    this.response.once('close', () => {
      if (!this.response.writableFinished) listener()
    })
  }

  /** Passes on a whole answer. */
  sendComplete (status: number, headers: Headers, body: Buffer): void {
    if (this.isClosed) return
    this.writeHead(status, headers, { 'content-length': String(body.length) })
    this.response.end(body)
  }

  /** Begins to pass on a stream. */
  beginStream (status: number, headers: Headers): void {
    if (this.isClosed) return
    this.writeHead(status, headers, {})
    this.response.flushHeaders()
  }

  /** Passes on whole events; false if the caller reads too slowly for more. */
  writeEvents (bytes: Buffer): boolean {
    return this.isClosed || this.response.write(bytes)
  }

  onceDrained (listener: () => void): void {
    this.response.once('drain', listener)
  }

  endStream (rest: Buffer): void {
    if (!this.isClosed) this.response.end(rest.length > 0 ? rest : undefined)
  }

  /** Ends an answer that has begun so that it can't be taken for a whole one. */
  abort (): void {
    this.response.destroy()
  }

  /** Answers with an error of this process; where an answer has begun, it is broken off. */
  sendError (answer: ErrorResponse): void {
    if (this.isClosed) return
    if (this.hasBegun) {
      this.abort()
      return
    }
    const { status, code, message, ran, retryAfterMs } = answer
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
    // A process that is about to stop asks its callers to come back on another connection.
    if (this.isStopping()) sent['connection'] = 'close'
    this.response.writeHead(status, sent)
  }
}
