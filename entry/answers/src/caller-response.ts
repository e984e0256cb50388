/** The answer to one caller: head once, bytes with back-pressure, and an error in the form that fits. */
import { type IncomingHttpHeaders, type ServerResponse } from 'node:http'
import { type Ran } from '@gullwall/core.types'
import { abortResponse } from '@gullwall/transport.http-server'

/** An error as the caller sees it. */
export interface CallerError {
  status: number
  code: string
  message: string
  ran: Ran
  step: string
  peer?: string
  retryAfterMs?: number
}

/** A caller that takes no byte for so long is given up, in ms. */
const SLOW_READER_MS = 30_000
const MS_PER_SECOND = 1000

export class CallerResponse {
  /** Resolves when the connection is gone before the answer was whole. */
  readonly gone = new AbortController()
  private isEventStream = false

  constructor (private readonly response: ServerResponse, readonly requestId: string) {
    response.once('close', () => {
      if (!response.writableFinished) this.gone.abort()
    })
  }

  get isGone (): boolean {
    return this.gone.signal.aborted
  }

  /** Whether the caller has been sent the head of an answer. */
  get hasBegun (): boolean {
    return this.response.headersSent
  }

  begin (status: number, headers: IncomingHttpHeaders | Record<string, string | string[]>): void {
    if (this.hasBegun) return
    this.response.writeHead(status, { ...headers, 'x-request-id': this.requestId })
  }

  /** Writes bytes; a promise resolves when a slow caller has taken them. */
  write (bytes: Buffer): Promise<void> | undefined {
    return this.response.write(bytes) || this.isGone ? undefined : this.drained()
  }

  end (): void {
    this.response.end()
  }

  /** Answers with an error; in a stream that has begun it is the last event, without `[DONE]`. */
  fail (error: CallerError): void {
    if (this.isGone) return
    if (!this.hasBegun) {
      this.response.writeHead(error.status, errorHeaders(error, this.requestId))
      this.response.end(JSON.stringify(errorBody(error, this.requestId)))
      return
    }
    if (this.isEventStream) this.response.end(`data: ${JSON.stringify(errorBody(error, this.requestId))}\n\n`)
    else abortResponse(this.response)
  }

  /** Errors in what follows are events too. */
  markEventStream (): void {
    this.isEventStream = true
  }

  private drained (): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => abortResponse(this.response), SLOW_READER_MS)
      const done = () => {
        clearTimeout(timer)
        this.response.off('drain', done)
        this.response.off('close', done)
        resolve()
      }
      this.response.once('drain', done)
      this.response.once('close', done)
    })
  }
}

/** The body of an error, in the form that clients of the chat API read. */
export function errorBody (error: CallerError, requestId: string): object {
  return {
    error: {
      message: error.message,
      type: typeOf(error.status),
      code: error.code,
      param: null,
      ran: error.ran,
      step: error.step,
      peer: error.peer ?? null,
      request_id: requestId
    }
  }
}

function errorHeaders (error: CallerError, requestId: string): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json; charset=utf-8', 'x-request-id': requestId, 'gullwall-ran': error.ran
  }
  // Clients that retry by themselves must not repeat what may have run.
  if (error.ran !== 'no') headers['x-should-retry'] = 'false'
  if (error.retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(error.retryAfterMs / MS_PER_SECOND))
  return headers
}

function typeOf (status: number): string {
  if (status === 401) return 'authentication_error'
  if (status === 403) return 'permission_error'
  if (status === 429) return 'rate_limit_error'
  return status < 500 ? 'invalid_request_error' : 'server_error'
}
