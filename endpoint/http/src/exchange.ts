/**
 * One HTTP exchange through undici, with a response that is streamed to a receiver. The receiver gets each chunk directly from
 * the connection: a readable stream between them would need a turn of the event loop and a buffer for each chunk.
 */
import { type Dispatcher, type Pool } from 'undici'
import { GullwallError } from '@gullwall/core.error'
import { type ResponseReceiver, type ResponseHeadListener } from '@gullwall/endpoint.dialect'
import { framingOf, type Framing } from './framing.ts'

/** Names an attempt to an endpoint, which may repeat it in its response. */
export const ATTEMPT_ID_HEADER = 'x-gullwall-attempt-id'

/** The lowest status of a final response; lower ones are interim responses. */
const MIN_FINAL_STATUS = 200

export interface ExchangeOptions {
  /** Called with all response headers, including those of interim responses. */
  onResponseHead?: ResponseHeadListener
  /** The id of this attempt. A response that names another one belongs to an earlier attempt, and nothing of it is used. */
  attemptId?: string | undefined
  /** Whether the connection that is ending now was closed and not reset; a response without a length is complete only then. */
  wasClosedCleanly?: () => Promise<boolean>
}

/** Sends a request. Resolves when the response is complete, and rejects if the response fails or the signal aborts it. */
export function exchange (
  pool: Pool, options: Dispatcher.DispatchOptions, receiver: ResponseReceiver, signal: AbortSignal,
  { onResponseHead = () => {}, wasClosedCleanly = async () => false, attemptId }: ExchangeOptions = {}
): Promise<void> {
  let sentAt = performance.now()
  let framing: Framing = 'length'
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
        if (isForeign(headers, attemptId)) {
          started.abort(new GullwallError('ERR_GULLWALL_FOREIGN_RESPONSE', 'the response belongs to another attempt', { step: 'run' }))
          return
        }
        onResponseHead({ status, headers, sentAt })
        if (status < MIN_FINAL_STATUS) return
        framing = framingOf(status, headers)
        receiver.onHead(status, headers)
      },
      onResponseData: (started, chunk) => {
        const writable = receiver.onData(chunk)
        if (writable === undefined) return
        started.pause()
        writable.then(() => started.resume(), (error: Error) => started.abort(error))
      },
      onResponseEnd: () => {
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
