/**
 * One HTTP exchange through undici, with a response that is streamed to a receiver. The receiver gets each chunk directly from
 * the connection: a readable stream between them would need a turn of the event loop and a buffer for each chunk.
 */
import { type IncomingHttpHeaders } from 'node:http'
import { type Dispatcher, type Pool } from 'undici'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type ResponseReceiver, type ResponseHeadListener } from '@gullwall/endpoint.dialect'
import { ConnectionAbort } from './connection-abort.ts'
import { findCurrentReads, EndlessResponseError, type ConnectionReads } from './connection-reads.ts'
import { framingOf, type Framing } from './framing.ts'

/** Names an attempt to an endpoint, which may repeat it in its response. */
export const ATTEMPT_ID_HEADER = 'x-gullwall-attempt-id'

/** The lowest status of a final response; lower ones are interim responses. */
const MIN_FINAL_STATUS = 200
/** Maximum number of interim heads of one response: servers send one or two, and some one at each interval while they work. */
export const MAX_INTERIM_HEADS = 64

/** The failure of an exchange of which no byte was written, so that its request has certainly not run. */
export class UnsentError extends Error {
  constructor (cause: Error) {
    super(messageOf(cause), { cause })
  }
}

export interface ExchangeOptions {
  /** Called with all response headers, including those of interim responses. */
  onResponseHead?: ResponseHeadListener
  /** The id of this attempt. A response that names another one belongs to an earlier attempt, and nothing of it is used. */
  attemptId?: string | undefined
  /** Called right before the first byte is written, after any wait for a connection; the request is sent only if it returns true. */
  maySend?: () => boolean
  /** Whether the connection that is ending now was closed and not reset; a response without a length is complete only then. */
  wasClosedCleanly?: () => Promise<boolean>
  /** Maximum size of the body; unlimited for a receiver that passes its parts on and keeps none. */
  maxBodyBytes?: number
}

/**
 * Sends a request, at most once. Resolves when the response is complete, and rejects if the response fails or the signal aborts it.
 * @throws UnsentError if no byte of the request was written; after any other error it may have run
 */
export function exchange (
  pool: Pool, options: Dispatcher.DispatchOptions, receiver: ResponseReceiver, signal: AbortSignal, exchangeOptions: ExchangeOptions = {}
): Promise<void> {
  if (signal.aborted) return Promise.reject(new UnsentError(getAbortReason(signal)))
  return new Promise((resolve, reject) => {
    const handler = new ExchangeHandler(options.method, receiver, signal, exchangeOptions, (error) => {
      signal.removeEventListener('abort', handler.abort)
      if (error === undefined) resolve()
      else reject(error)
    })
    signal.addEventListener('abort', handler.abort)
    pool.dispatch(options, handler)
  })
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  /** Controls the exchange once a byte of the request may have been written. */
  private controller: Dispatcher.DispatchController | undefined
  private sentAt = 0
  private framing: Framing = 'length'
  private reads: ConnectionReads | undefined
  private interimHeadCount = 0
  private bodyBytes = 0
  private readonly connectionAbort = new ConnectionAbort()

  constructor (
    private readonly method: string,
    private readonly receiver: ResponseReceiver,
    private readonly signal: AbortSignal,
    private readonly options: ExchangeOptions,
    private readonly settle: (error?: Error) => void
  ) {}

  readonly abort = (): void => {
    // A request that still waits for its connection is aborted before its first byte once it has one.
    if (this.controller === undefined) this.settle(new UnsentError(getAbortReason(this.signal)))
    else this.connectionAbort.abort(this.controller, getAbortReason(this.signal))
  }

  onRequestStart (started: Dispatcher.DispatchController): void {
    if (this.controller !== undefined) {
      // The client puts a request that was written back into its queue when its connection ends for a reason of the client.
      started.abort(new Error('the request was sent before, and is not sent again'))
    } else if (this.signal.aborted) {
      started.abort(getAbortReason(this.signal))
    } else if (this.options.maySend?.() === false) {
      started.abort(new Error('the request may no longer be sent'))
    } else {
      this.controller = started
      this.sentAt = performance.now()
    }
  }

  onResponseStart (started: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.reads = findCurrentReads()
    if (status < MIN_FINAL_STATUS && !this.recordInterimHead(started)) return
    if (status >= MIN_FINAL_STATUS) this.reads?.recordProgress()
    if (isForeign(headers, this.options.attemptId)) {
      started.abort(new GullwallError('ERR_GULLWALL_FOREIGN_RESPONSE', 'the response belongs to another attempt', { step: 'run' }))
      return
    }
    this.options.onResponseHead?.({ status, headers, sentAt: this.sentAt })
    if (status < MIN_FINAL_STATUS) return
    // A response to HEAD has no body, whatever its head says of a length.
    this.framing = this.method === 'HEAD' ? 'length' : framingOf(status, headers)
    this.receiver.onHead(status, headers)
  }

  /** Counts an interim head, and ends the exchange if too many came. Returns whether it goes on. */
  private recordInterimHead (started: Dispatcher.DispatchController): boolean {
    this.reads?.recordInterimHead()
    this.interimHeadCount += 1
    if (this.interimHeadCount <= MAX_INTERIM_HEADS) return true
    started.abort(new EndlessResponseError('interim', `${this.interimHeadCount} interim heads came before the response`))
    return false
  }

  onResponseData (started: Dispatcher.DispatchController, chunk: Buffer): void {
    this.reads?.recordProgress()
    this.connectionAbort.receiveData(() => this.receiveData(started, chunk))
  }

  private receiveData (started: Dispatcher.DispatchController, chunk: Buffer): void {
    this.bodyBytes += chunk.length
    const { maxBodyBytes = Infinity } = this.options
    if (this.bodyBytes > maxBodyBytes) {
      this.connectionAbort.abort(started, new EndlessResponseError('body', `the response has more than ${maxBodyBytes} bytes`))
      return
    }
    const writable = this.receiver.onData(chunk)
    if (writable === undefined) return
    const { reads } = this
    reads?.pause(started)
    writable.then(() => reads?.resume(started), (error: Error) => started.abort(error))
  }

  onResponseEnd (): void {
    this.reads?.recordEnd()
    if (this.connectionAbort.reason !== undefined) this.settle(this.connectionAbort.reason)
    else if (this.framing !== 'connection') this.settle()
    else void this.endUnframed(this.options.wasClosedCleanly?.())
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.settle(this.controller === undefined ? new UnsentError(error) : error)
  }

  /** Ends a response without a length, which is complete only if its connection was closed and not reset. */
  private async endUnframed (wasClosedCleanly: Promise<boolean> | undefined): Promise<void> {
    this.settle(await wasClosedCleanly === true ? undefined : new Error('the connection was reset'))
  }
}

/** Endpoints that do not repeat the id can't be told apart. */
function isForeign (headers: Record<string, string | string[] | undefined>, attemptId: string | undefined): boolean {
  const named = headers[ATTEMPT_ID_HEADER]
  return named !== undefined && attemptId !== undefined && named !== attemptId
}

function getAbortReason (signal: AbortSignal): Error {
  return signal.reason instanceof Error ? signal.reason : new Error('aborted')
}
