/** The answer to one caller: head once, bytes with back-pressure, and an error in the form that fits. */
import { type IncomingHttpHeaders, type ServerResponse } from 'node:http'
import { isNotRunStatus, RunEvidence, type ForwardableStatus, type NotRunProof, type NotRunStatus, type Ran } from '@gullwall/core.types'
import { abortResponse } from '@gullwall/transport.http-server'

/** Statuses with which an entry reports a failure; none of them promises anything about the run of the request. */
export type FailureStatus = 400 | 401 | 403 | 404 | 409 | 413 | 500 | 502

interface ErrorDescription {
  code: string
  message: string
  step: string
  peer?: string
}

/** A failure, which promises nothing about the run of the request. */
export interface CallerFailure extends ErrorDescription {
  status: FailureStatus
  ran: Ran
}

/** A refusal, which promises that the request has not run and never will. */
export interface CallerRefusal extends ErrorDescription {
  status: NotRunStatus
  retryAfterMs?: number
}

/** An error as the caller sees it. */
export type CallerError = CallerFailure | CallerRefusal

/** The header in which an entry states whether a request has run. */
const RAN_HEADER = 'gullwall-ran'
const UNPROVEN_STATUS = 502
/** A caller that takes no byte for so long is given up, in ms. */
const SLOW_READER_MS = 30_000
const MS_PER_SECOND = 1000

export class CallerResponse {
  /** Resolves when the connection is gone before the answer was whole. */
  readonly gone = new AbortController()
  /** Whether the request may have run. */
  readonly evidence = new RunEvidence()
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

  /** Sends the head of an endpoint's response. */
  begin (status: ForwardableStatus, headers: IncomingHttpHeaders | Record<string, string | string[]>): void {
    if (this.hasBegun) return
    const { [RAN_HEADER]: _ofEndpoint, ...forwarded } = headers
    this.response.writeHead(status, { ...forwarded, 'x-request-id': this.requestId })
  }

  /** Writes bytes; a promise resolves when a slow caller has taken them. */
  write (bytes: Buffer): Promise<void> | undefined {
    return this.response.write(bytes) || this.isGone ? undefined : this.drained()
  }

  end (): void {
    this.response.end()
  }

  /** Reports an error. A refusal without the proof that the request has not run is reported as a failure. Returns the status. */
  report (error: CallerError): CallerError['status'] {
    if (!isRefusal(error)) {
      this.fail(error)
      return error.status
    }
    const proof = this.evidence.proveNotRun()
    if (proof !== undefined && !this.hasBegun) {
      this.refuse(error, proof)
      return error.status
    }
    const { code, message, step, peer } = error
    this.fail({ status: UNPROVEN_STATUS, code, message, step, ...(peer === undefined ? {} : { peer }), ran: this.evidence.ran })
    return UNPROVEN_STATUS
  }

  /** Reports a failure; in a stream that has begun it is the last event, without `[DONE]`. */
  fail (failure: CallerFailure): void {
    if (this.isGone) return
    if (!this.hasBegun) this.writeError(failure, failure.ran)
    else if (this.isEventStream) this.response.end(`data: ${JSON.stringify(errorBody(failure, failure.ran, this.requestId))}\n\n`)
    else abortResponse(this.response)
  }

  /**
   * Refuses the request. No other function writes a status that promises that the request has not run.
   * @throws Error if the proof is about another request
   */
  refuse (refusal: CallerRefusal, proof: NotRunProof): void {
    if (!proof.isAbout(this.evidence)) throw new Error('the proof is about another request')
    if (!this.isGone) this.writeError(refusal, 'no')
  }

  private writeError (error: CallerError, ran: Ran): void {
    const body = Buffer.from(JSON.stringify(errorBody(error, ran, this.requestId)))
    this.response.writeHead(error.status, { ...errorHeaders(error, ran, this.requestId), 'content-length': body.length })
    this.response.end(body)
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

function isRefusal (error: CallerError): error is CallerRefusal {
  return isNotRunStatus(error.status)
}

/** The body of an error, in the form that clients of the chat API read. */
function errorBody (error: CallerError, ran: Ran, requestId: string): object {
  return {
    error: {
      message: error.message,
      type: typeOf(error.status),
      code: error.code,
      param: null,
      ran,
      step: error.step,
      peer: error.peer ?? null,
      request_id: requestId
    }
  }
}

function errorHeaders (error: CallerError, ran: Ran, requestId: string): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json; charset=utf-8', 'x-request-id': requestId, [RAN_HEADER]: ran
  }
  // Clients that retry by themselves must not repeat what may have run.
  if (ran !== 'no') headers['x-should-retry'] = 'false'
  if (error.status === 401) headers['www-authenticate'] = 'Bearer'
  if (isRefusal(error) && error.retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(error.retryAfterMs / MS_PER_SECOND))
  return headers
}

function typeOf (status: number): string {
  if (status === 401) return 'authentication_error'
  if (status === 403) return 'permission_error'
  if (status === 429) return 'rate_limit_error'
  return status < 500 ? 'invalid_request_error' : 'server_error'
}
