/** One attempt: one request on one connection to one endpoint. */
import { type Dispatcher } from 'undici'
import { messageOf } from '@gullwall/core.error'
import { type Headers } from './dialect.ts'

/** The head of an endpoint's answer. */
export interface ExchangeHead {
  status: number
  headers: Headers
  /** When the request was sent that it answers, by the monotonic clock. */
  sentAt: number
}

export interface ExchangeRequest {
  method: string
  path: string
  headers: string[]
  body: Buffer | undefined
  /** How long the connection may take to be made, in ms. */
  connectMs: number
  /** Asked right before the first byte is written, after any wait for a connection: why it is no longer to be sent. */
  findRefusalReason: () => string | undefined
  /** Whether the connection that is ending right now was closed and not reset. */
  wasClosedCleanly: () => Promise<boolean>
}

/** Told what arrives, in order. */
export interface ExchangeListener {
  /** A head that is not that of the answer itself (1xx). */
  onInterim (head: ExchangeHead): void
  /** False ends the exchange: the head is not one of the expected answer. */
  onHead (head: ExchangeHead): boolean
  onData (chunk: Buffer): void
}

/**
 * How an exchange ended. `unsent`: not a byte was written, so that it certainly did not run; `isRefused` says that nothing
 * listens at its address. `withheld`: the same, though the endpoint could be reached. `broken`: it may have run; `isClosed`
 * says that the connection ended by itself, and not because it was given up here.
 */
export type ExchangeOutcome =
  | { type: 'complete' }
  | { type: 'unsent', reason: string, isRefused?: boolean }
  | { type: 'withheld', reason: string }
  | { type: 'broken', reason: string, isClosed: boolean }
  | { type: 'cancelled' }

/** The lowest status of an answer; those below it precede one. */
const FINAL = 200
/** Answers that have no body, and so no need of a length. */
const NO_BODY = new Set([204, 304])

type Handler = Required<Pick<Dispatcher.DispatchHandler,
  'onRequestStart' | 'onResponseStart' | 'onResponseData' | 'onResponseEnd' | 'onResponseError'>>

export class Exchange {
  readonly outcome: Promise<ExchangeOutcome>
  private settle!: (end: ExchangeOutcome) => void
  private controller: Dispatcher.DispatchController | undefined
  private isOver = false
  private isFramed = true
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

  /** Whether the request may have reached the endpoint. */
  get isSent (): boolean {
    return this.controller !== undefined
  }

  /** Ends the exchange and its connection; the endpoint sees that its caller has left. */
  cancel (): void {
    this.end({ type: 'cancelled' })
  }

  /** Ends the exchange in favour of another attempt. */
  abandon (why: string): void {
    this.end(this.isSent ? { type: 'broken', reason: why, isClosed: false } : { type: 'unsent', reason: why })
  }

  pause (): void {
    this.controller?.pause()
  }

  resume (): void {
    this.controller?.resume()
  }

  /** Ends an answer that has no length: it is whole only if its connection was closed and not reset. */
  private async endWith (closedWell: Promise<boolean>): Promise<void> {
    this.end(await closedWell ? { type: 'complete' } : { type: 'broken', reason: 'the connection was reset', isClosed: true })
  }

  private end (end: ExchangeOutcome): void {
    if (this.isOver) return
    this.isOver = true
    clearTimeout(this.connectTimer)
    if (end.type !== 'complete') this.controller?.abort(new Error(end.type))
    this.settle(end)
  }

  private handler ({ wasClosedCleanly, findRefusalReason }: ExchangeRequest, connectBy: number): Handler {
    return {
      onRequestStart: (controller) => {
        // A process that was frozen finds its connection before the timer; what it was given leave to send is over by then.
        if (performance.now() > connectBy) this.end({ type: 'unsent', reason: 'the connection was made too late' })
        if (this.isOver) {
          // Nothing has been written yet, and nothing will be.
          controller.abort(new Error('given up before it was sent'))
          return
        }
        clearTimeout(this.connectTimer)
        const why = findRefusalReason()
        if (why === undefined) {
          this.controller = controller
          this.sentAt = performance.now()
        } else {
          this.end({ type: 'withheld', reason: why })
          controller.abort(new Error(why))
        }
      },
      onResponseStart: (_controller, status, headers) => {
        if (status < FINAL) this.listener.onInterim({ status, headers, sentAt: this.sentAt })
        if (this.isOver || status < FINAL) return
        this.isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || NO_BODY.has(status)
        if (this.listener.onHead({ status, headers, sentAt: this.sentAt })) return
        this.end({ type: 'broken', reason: 'the head is not that of an answer to this request', isClosed: false })
      },
      onResponseData: (_controller, chunk) => {
        if (!this.isOver) this.listener.onData(chunk)
      },
      onResponseEnd: () => {
        if (this.isFramed) this.end({ type: 'complete' })
        else void this.endWith(wasClosedCleanly())
      },
      onResponseError: (_controller, error) => {
        const why = messageOf(error)
        this.end(this.isSent ? { type: 'broken', reason: why, isClosed: true } : { type: 'unsent', reason: why, isRefused: isRefusal(error) })
      }
    }
  }
}

function isRefusal (error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNREFUSED'
}
