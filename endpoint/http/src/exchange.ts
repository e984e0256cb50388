/**
 * One HTTP exchange through undici, with a response that is streamed to a receiver. The receiver gets each chunk directly from
 * the connection: a readable stream between them would need a turn of the event loop and a buffer for each chunk.
 */
import { type Dispatcher, type Pool } from 'undici'
import { GullwallError } from '@gullwall/core.error'
import { type ResponseReceiver, type ResponseHeadListener } from '@gullwall/endpoint.dialect'
import { findCurrentReads, EndlessResponseError, type ConnectionReads } from './connection-reads.ts'
import { framingOf, type Framing } from './framing.ts'

/** Names an attempt to an endpoint, which may repeat it in its response. */
export const ATTEMPT_ID_HEADER = 'x-gullwall-attempt-id'

/** The lowest status of a final response; lower ones are interim responses. */
const MIN_FINAL_STATUS = 200
/** Maximum number of interim heads of one response: servers send one or two, and some one at each interval while they work. */
export const MAX_INTERIM_HEADS = 64

export interface ExchangeOptions {
  /** Called with all response headers, including those of interim responses. */
  onResponseHead?: ResponseHeadListener
  /** The id of this attempt. A response that names another one belongs to an earlier attempt, and nothing of it is used. */
  attemptId?: string | undefined
  /** Whether the connection that is ending now was closed and not reset; a response without a length is complete only then. */
  wasClosedCleanly?: () => Promise<boolean>
  /** Maximum size of the body; unlimited for a receiver that passes its parts on and keeps none. */
  maxBodyBytes?: number
}

/** Sends a request. Resolves when the response is complete, and rejects if the response fails or the signal aborts it. */
export function exchange (
  pool: Pool, options: Dispatcher.DispatchOptions, receiver: ResponseReceiver, signal: AbortSignal,
  { onResponseHead = () => {}, wasClosedCleanly = async () => false, attemptId, maxBodyBytes = Infinity }: ExchangeOptions = {}
): Promise<void> {
  let sentAt = performance.now()
  let framing: Framing = 'length'
  let reads: ConnectionReads | undefined
  let interimHeadCount = 0
  let bodyBytes = 0
  return new Promise((resolve, reject) => {
    let controller: Dispatcher.DispatchController | undefined
    const abort = () => controller?.abort(getAbortReason(signal))
    const settle = (error?: Error) => {
      signal.removeEventListener('abort', abort)
      if (error === undefined) resolve()
      else reject(error)
    }
    signal.addEventListener('abort', abort)
    pool.dispatch(options, {
      onRequestStart: (started) => {
        controller = started
        sentAt = performance.now()
        if (signal.aborted) abort()
      },
      onResponseStart: (started, status, headers) => {
        reads = findCurrentReads()
        if (status < MIN_FINAL_STATUS) {
          reads?.recordInterimHead()
          interimHeadCount += 1
          if (interimHeadCount > MAX_INTERIM_HEADS) {
            started.abort(new EndlessResponseError('interim', `${interimHeadCount} interim heads came before the response`))
            return
          }
        } else reads?.recordProgress()
        if (isForeign(headers, attemptId)) {
          started.abort(new GullwallError('ERR_GULLWALL_FOREIGN_RESPONSE', 'the response belongs to another attempt', { step: 'run' }))
          return
        }
        onResponseHead({ status, headers, sentAt })
        if (status < MIN_FINAL_STATUS) return
        framing = options.method === 'HEAD' ? 'length' : framingOf(status, headers)
        receiver.onHead(status, headers)
      },
      onResponseData: (started, chunk) => {
        reads?.recordProgress()
        bodyBytes += chunk.length
        if (bodyBytes > maxBodyBytes) {
          started.abort(new EndlessResponseError('body', `the response has more than ${maxBodyBytes} bytes`))
          return
        }
        const writable = receiver.onData(chunk)
        if (writable === undefined) return
        started.pause()
        writable.then(() => started.resume(), (error: Error) => started.abort(error))
      },
      onResponseEnd: () => {
        reads?.recordEnd()
        if (framing !== 'connection') settle()
        else void wasClosedCleanly().then((isClean) => settle(isClean ? undefined : new Error('the connection was reset')))
      },
      onResponseError: (_controller, error) => settle(error)
    })
  })
}

/** Endpoints that do not repeat the id can't be told apart. */
function isForeign (headers: Record<string, string | string[] | undefined>, attemptId: string | undefined): boolean {
  const named = headers[ATTEMPT_ID_HEADER]
  return named !== undefined && attemptId !== undefined && named !== attemptId
}

function getAbortReason (signal: AbortSignal): Error {
  return signal.reason instanceof Error ? signal.reason : new Error('aborted')
}
