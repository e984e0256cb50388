/** One HTTP exchange of an attempt: one request on one connection to one endpoint. */
import { type Dispatcher } from 'undici'
import { messageOf } from '@gullwall/core.error'
import { framingOf, type Framing } from '@gullwall/endpoint.http'
import { type Headers } from './dialect.ts'

/** The head of an endpoint's response. */
export interface ExchangeHead {
  status: number
  headers: Headers
  framing: Framing
  /** When the request of the response was sent, by the monotonic clock. */
  sentAt: number
}

export interface ExchangeRequest {
  method: string
  path: string
  headers: string[]
  body: Buffer | undefined
  /** Timeout for a connection, in ms. */
  connectMs: number
  /** Called right before the first byte is written, after any wait for a connection. Returns why the request may no longer be sent. */
  findRefusalReason: () => string | undefined
  /** Called when the first byte is about to be written; the request counts as sent from then on. */
  onSending: () => void
  /** Whether the connection that is ending now was closed and not reset. */
  wasClosedCleanly: () => Promise<boolean>
}

/** Receives the parts of the response in order. */
export interface ExchangeListener {
  /** Called for each interim head (1xx). */
  onInterim (head: ExchangeHead): void
  /** Called for the final head. Returns false if it does not belong to the expected response; the exchange then ends. */
  onHead (head: ExchangeHead): boolean
  onData (chunk: Buffer): void
}

/**
 * How an exchange ended. `unsent`: no byte was written, so that the request certainly did not run; `isRefused` says that nothing
 * listens at the address. `withheld`: no byte was written, because the request was no longer allowed. `broken`: the request may have
 * run; `isClosed` says that the connection was not closed by this process.
 */
export type ExchangeOutcome =
  | { type: 'complete' }
  | { type: 'unsent', reason: string, isRefused?: boolean }
  | { type: 'withheld', reason: string }
  | { type: 'broken', reason: string, isClosed: boolean }
  | { type: 'cancelled' }

/** The lowest status of a final response; lower ones are interim. */
const MIN_FINAL_STATUS = 200

type Handler = Required<Pick<Dispatcher.DispatchHandler,
  'onRequestStart' | 'onResponseStart' | 'onResponseData' | 'onResponseEnd' | 'onResponseError'>>

export class Exchange {
  readonly outcome: Promise<ExchangeOutcome>
  private settle!: (outcome: ExchangeOutcome) => void
  private controller: Dispatcher.DispatchController | undefined
  private isOver = false
  private framing: Framing = 'length'
  private connectTimer: NodeJS.Timeout | undefined
  private sentAt = -Infinity

  constructor (dispatcher: Dispatcher, origin: string, request: ExchangeRequest, private readonly listener: ExchangeListener) {
    this.outcome = new Promise((resolve) => { this.settle = resolve })
    this.connectTimer = setTimeout(() => this.end({ type: 'unsent', reason: `no connection within ${request.connectMs} ms` }), request.connectMs)
    const { method, path, headers, body } = request
    try {
      dispatcher.dispatch({
        origin, method: method as Dispatcher.HttpMethod, path, headers, body: body ?? null, headersTimeout: 0, bodyTimeout: 0, reset: false
      }, this.handler(request, performance.now() + request.connectMs))
    } catch (error) {
      this.end({ type: 'unsent', reason: messageOf(error) })
    }
  }

  /** Whether a byte of the request may have been written. */
  get isSent (): boolean {
    return this.controller !== undefined
  }

  /** Ends the exchange for a caller that has disconnected, and closes the connection to the endpoint. */
  cancel (): void {
    this.end({ type: 'cancelled' })
  }

  /** Ends the exchange, so that another attempt can be made. */
  abandon (reason: string): void {
    this.end(this.isSent ? { type: 'broken', reason, isClosed: false } : { type: 'unsent', reason })
  }

  pause (): void {
    this.controller?.pause()
  }

  resume (): void {
    this.controller?.resume()
  }

  /** Ends a response without a length, which is complete only if its connection was closed and not reset. */
  private async endUnframed (wasClosedCleanly: Promise<boolean>): Promise<void> {
    this.end(await wasClosedCleanly ? { type: 'complete' } : { type: 'broken', reason: 'the connection was reset', isClosed: true })
  }

  private end (outcome: ExchangeOutcome): void {
    if (this.isOver) return
    this.isOver = true
    clearTimeout(this.connectTimer)
    if (outcome.type !== 'complete') this.controller?.abort(new Error(outcome.type))
    this.settle(outcome)
  }

  private handler ({ wasClosedCleanly, findRefusalReason, onSending }: ExchangeRequest, connectBy: number): Handler {
    return {
      onRequestStart: (controller) => {
        if (this.controller !== undefined) {
          // The HTTP client puts a request that it has written back into its queue if it closes the connection for a reason of its own.
          controller.abort(new Error('the request has been sent before'))
          this.end({ type: 'broken', reason: 'the connection was closed after the request had been sent', isClosed: false })
          return
        }
        // A process that was suspended may handle the connection before the timer; its permit to send has expired by then.
        if (performance.now() > connectBy) this.end({ type: 'unsent', reason: 'the connection was established too late' })
        if (this.isOver) {
          // No byte has been written yet; aborting here ensures that none will be.
          controller.abort(new Error('the exchange ended before the request was sent'))
          return
        }
        clearTimeout(this.connectTimer)
        const reason = findRefusalReason()
        if (reason === undefined) {
          this.controller = controller
          this.sentAt = performance.now()
          onSending()
        } else {
          this.end({ type: 'withheld', reason })
          controller.abort(new Error(reason))
        }
      },
      onResponseStart: (_controller, status, headers) => {
        const head: ExchangeHead = { status, headers, framing: framingOf(status, headers), sentAt: this.sentAt }
        if (status < MIN_FINAL_STATUS) this.listener.onInterim(head)
        if (this.isOver || status < MIN_FINAL_STATUS) return
        this.framing = head.framing
        if (this.listener.onHead(head)) return
        this.end({ type: 'broken', reason: 'the response head does not match the request', isClosed: false })
      },
      onResponseData: (_controller, chunk) => {
        if (!this.isOver) this.listener.onData(chunk)
      },
      onResponseEnd: () => {
        if (this.framing === 'connection') void this.endUnframed(wasClosedCleanly())
        else this.end({ type: 'complete' })
      },
      onResponseError: (_controller, error) => {
        const reason = messageOf(error)
        this.end(this.isSent ? { type: 'broken', reason, isClosed: true } : { type: 'unsent', reason, isRefused: isRefusal(error) })
      }
    }
  }
}

function isRefusal (error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNREFUSED'
}
