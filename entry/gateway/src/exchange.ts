/** One HTTP exchange of an attempt: one request on one connection to one endpoint. */
import { type Dispatcher } from 'undici'
import { messageOf } from '@gullwall/core.error'
import {
  ConnectionAbort, findCurrentReads, findEndlessPlace, framingOf, MAX_INTERIM_HEADS, type ConnectionReads, type EndlessPlace, type Framing
} from '@gullwall/endpoint.http'
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
  /** Called for the final head. Returns what follows it. */
  onHead (head: ExchangeHead): HeadDecision
  onData (chunk: Buffer): void
  /** Called if the body that is read behind a complete exchange has no end. */
  onEndless (place: EndlessPlace, reason: string): void
}

/**
 * What follows the final head: `read` the body; `discard` the body, since the head says all, so that the exchange is complete; or the
 * head is `foreign`, and the exchange ends.
 */
export type HeadDecision = 'read' | 'discard' | 'foreign'

/**
 * How an exchange ended. `unsent`: no byte was written, so that the request certainly did not run; `isRefused` says that nothing
 * listens at the address. `withheld`: no byte was written, because the request was no longer allowed. `broken`: the request may have
 * run; `isClosed` says that the connection was not closed by this process, and `endless` where bytes came without end.
 */
export type ExchangeOutcome =
  | { type: 'complete' }
  | { type: 'unsent', reason: string, isRefused?: boolean }
  | { type: 'withheld', reason: string }
  | { type: 'broken', reason: string, isClosed: boolean, endless?: EndlessPlace }
  | { type: 'cancelled' }

/** The lowest status of a final response; lower ones are interim. */
const MIN_FINAL_STATUS = 200
/** Maximum size of a body that is read only to use its connection again; a rejection has a short text. */
const MAX_DISCARDED_BYTES = 64 * 1024
/** Time for such a body, in ms, for which the connection is not available to other requests. */
const MAX_DISCARD_MS = 100

/** On whose behalf a response is paused: of a caller that reads too slowly, or of the memory of the process. */
export type PauseOwner = 'caller' | 'memory'

type Handler = Required<Pick<Dispatcher.DispatchHandler,
  'onRequestStart' | 'onResponseStart' | 'onResponseData' | 'onResponseEnd' | 'onResponseError'>>

export class Exchange {
  readonly outcome: Promise<ExchangeOutcome>
  private settle!: (outcome: ExchangeOutcome) => void
  private controller: Dispatcher.DispatchController | undefined
  private isOver = false
  private framing: Framing = 'length'
  private connectTimer: NodeJS.Timeout | undefined
  private readonly method: string
  private sentAt = -Infinity
  private hasHead = false
  private readonly connectionAbort = new ConnectionAbort()
  private interimHeadCount = 0
  private reads: ConnectionReads | undefined
  private readonly pauseOwners = new Set<PauseOwner>()
  /** Bytes of a body that is discarded, and the timer that ends it; undefined while none is. */
  private discarded: { bytes: number, timer: NodeJS.Timeout } | undefined

  constructor (dispatcher: Dispatcher, origin: string, request: ExchangeRequest, private readonly listener: ExchangeListener) {
    this.outcome = new Promise((resolve) => { this.settle = resolve })
    this.connectTimer = setTimeout(() => this.end({ type: 'unsent', reason: `no connection within ${request.connectMs} ms` }), request.connectMs)
    const { method, path, headers, body } = request
    this.method = method
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

  /** Ends the exchange, so that another attempt can be made. `endless`: where its bytes came without end. */
  abandon (reason: string, endless?: EndlessPlace): void {
    if (!this.isSent) this.end({ type: 'unsent', reason })
    else this.end({ type: 'broken', reason, isClosed: false, ...endless === undefined ? {} : { endless } })
  }

  isPausedFor (owner: PauseOwner): boolean {
    return this.pauseOwners.has(owner)
  }

  pause (owner: PauseOwner): void {
    if (this.controller === undefined) return
    this.pauseOwners.add(owner)
    this.reads?.pause(this.controller)
  }

  /** Reads on unless the response is still paused for another owner. */
  resume (owner: PauseOwner): void {
    this.pauseOwners.delete(owner)
    // The HTTP client can't parse the bytes of one response in a callback for those of another.
    queueMicrotask(() => {
      if (this.controller !== undefined && !this.isOver && this.pauseOwners.size === 0) this.reads?.resume(this.controller)
    })
  }

  /** Ends a response without a length, which is complete only if its connection was closed and not reset. */
  private async endUnframed (wasClosedCleanly: Promise<boolean>): Promise<void> {
    this.end(await wasClosedCleanly ? { type: 'complete' } : { type: 'broken', reason: 'the connection was reset', isClosed: true })
  }

  private end (outcome: ExchangeOutcome): void {
    if (this.isOver) return
    this.isOver = true
    clearTimeout(this.connectTimer)
    if (outcome.type !== 'complete') this.closeConnection(outcome.type)
    this.settle(outcome)
  }

  private closeConnection (reason: string): void {
    if (this.controller !== undefined) this.connectionAbort.abort(this.controller, new Error(reason))
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
      onResponseStart: (_controller, status, headers) => this.receiveHead(status, headers),
      onResponseData: (_controller, chunk) => {
        this.reads?.recordProgress()
        this.connectionAbort.receiveData(() => this.receiveData(chunk))
      },
      onResponseEnd: () => {
        this.reads?.recordEnd()
        clearTimeout(this.discarded?.timer)
        if (this.framing === 'connection') void this.endUnframed(wasClosedCleanly())
        else this.end({ type: 'complete' })
      },
      onResponseError: (_controller, error) => {
        const reason = messageOf(error)
        clearTimeout(this.discarded?.timer)
        const endless = findEndlessPlace(error, this.hasHead)
        if (endless !== undefined) this.endEndless(endless, reason)
        else this.end(this.isSent ? { type: 'broken', reason, isClosed: true } : { type: 'unsent', reason, isRefused: isRefusal(error) })
      }
    }
  }

  private receiveHead (status: number, headers: Headers): void {
    this.reads = findCurrentReads()
    if (this.isOver) return
    // A response to HEAD has no body, whatever its head says of a length.
    const framing = this.method === 'HEAD' ? 'length' : framingOf(status, headers)
    const head: ExchangeHead = { status, headers, framing, sentAt: this.sentAt }
    if (status < MIN_FINAL_STATUS) {
      this.receiveInterimHead(head)
      return
    }
    this.hasHead = true
    this.reads?.recordProgress()
    this.framing = head.framing
    const decision = this.listener.onHead(head)
    if (decision === 'foreign') this.end({ type: 'broken', reason: 'the response head does not match the request', isClosed: false })
    if (decision === 'discard') this.discard()
  }

  private receiveInterimHead (head: ExchangeHead): void {
    this.reads?.recordInterimHead()
    this.interimHeadCount += 1
    if (this.interimHeadCount > MAX_INTERIM_HEADS) this.endEndless('interim', `${this.interimHeadCount} interim heads came before the response`)
    else this.listener.onInterim(head)
  }

  /** Completes the exchange, and reads the rest of its body within bounds, so that its connection can be used again. */
  private discard (): void {
    const timer = setTimeout(() => this.closeDiscarded(`the body of a rejection was not complete within ${MAX_DISCARD_MS} ms`), MAX_DISCARD_MS)
    this.discarded = { bytes: 0, timer }
    this.end({ type: 'complete' })
  }

  private receiveData (chunk: Buffer): void {
    if (this.discarded !== undefined) this.countDiscarded(this.discarded, chunk.length)
    else if (!this.isOver) this.listener.onData(chunk)
  }

  private countDiscarded (discarded: { bytes: number }, bytes: number): void {
    discarded.bytes += bytes
    if (discarded.bytes > MAX_DISCARDED_BYTES) this.closeDiscarded(`the body of a rejection has more than ${MAX_DISCARDED_BYTES} bytes`)
  }

  private closeDiscarded (reason: string): void {
    clearTimeout(this.discarded?.timer)
    this.closeConnection(reason)
    this.listener.onEndless('rejection', reason)
  }

  private endEndless (endless: EndlessPlace, reason: string): void {
    if (this.discarded === undefined) this.end({ type: 'broken', reason, isClosed: false, endless })
    else this.listener.onEndless('rejection', reason)
  }
}

function isRefusal (error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNREFUSED'
}
