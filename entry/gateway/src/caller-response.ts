/** The HTTP response to a caller: the complete response of an endpoint, a stream event by event, or an error of this process. */
import { type ServerResponse } from 'node:http'
import { RunEvidence, type ForwardableStatus, type NotRunProof, type NotRunStatus } from '@gullwall/core.types'
import { abortResponse } from '@gullwall/transport.http-server'
import { type Headers } from './dialect.ts'
import { type FailureStatus } from './run-evidence.ts'

const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer', 'upgrade', 'proxy-connection'])

/** A failure that this process reports, which promises nothing about the run of the request. */
export interface FailureResponse {
  status: FailureStatus
  code: string
  message: string
  ran: 'no' | 'unknown' | 'partly'
}

/** A refusal of this process, which promises that the request has not run and never will. */
export interface RefusalResponse {
  status: NotRunStatus
  code: string
  message: string
  /** Delay after which the caller may retry, in ms. */
  retryAfterMs: number
}

export class CallerResponse {
  /** Whether the request may have run. */
  readonly evidence = new RunEvidence()

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
  sendComplete (status: ForwardableStatus, headers: Headers, body: Buffer): void {
    if (this.isClosed) return
    this.writeHead(status, headers, { 'content-length': String(body.length) })
    this.response.end(body)
  }

  /** Sends the head of a streamed response. */
  beginStream (status: ForwardableStatus, headers: Headers): void {
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

  /** Reports a failure. A response that has begun is aborted instead. */
  fail ({ status, code, message, ran }: FailureResponse): void {
    if (this.isClosed) return
    if (this.hasBegun) {
      this.abort()
      return
    }
    const body = this.errorBody({ code, message, ran })
    this.writeHead(status, { 'content-type': 'application/json' }, { 'content-length': String(body.length) })
    this.response.end(body)
  }

  /**
   * Refuses the request. No other function writes a status that promises that the request has not run.
   * @throws Error if the proof is about another request
   */
  refuse ({ status, code, message, retryAfterMs }: RefusalResponse, proof: NotRunProof): void {
    if (!proof.isAbout(this.evidence)) throw new Error('the proof is about another request')
    if (this.isClosed) return
    const body = this.errorBody({ code, message, ran: 'no' })
    const headers = { 'content-type': 'application/json', 'retry-after': (retryAfterMs / 1000).toFixed(3) }
    this.writeAnyHead(status, headers, { 'content-length': String(body.length) })
    this.response.end(body)
  }

  private errorBody (error: Pick<FailureResponse, 'code' | 'message' | 'ran'>): Buffer {
    return Buffer.from(JSON.stringify({ error: { ...error, requestId: this.requestId } }))
  }

  private writeHead (status: ForwardableStatus | FailureStatus, headers: Headers, added: Headers): void {
    this.writeAnyHead(status, headers, added)
  }

  private writeAnyHead (status: number, headers: Headers, added: Headers): void {
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
