/**
 * One HTTP exchange by undici, given to a receiver as it comes. Bytes go
 * straight from the connection to the receiver, without a readable stream between
 * them, which would cost a turn of the event loop and a buffer for each chunk.
 */
import { type Dispatcher, type Pool } from 'undici'
import { type ResponseReceiver, type ResponseHeadListener } from '@gullwall/endpoint.dialect'

/** The lowest status of an answer; those below it precede one. */
const FINAL = 200

/** Sends a request; resolves when the answer is whole, rejects if it breaks or the signal aborts it. */
export function exchange (
  pool: Pool, options: Dispatcher.DispatchOptions, receiver: ResponseReceiver, signal: AbortSignal,
  onAnyHead: ResponseHeadListener = () => {}
): Promise<void> {
  let sentAt = performance.now()
  return new Promise((resolve, reject) => {
    let controller: Dispatcher.DispatchController | undefined
    const abort = () => controller?.abort(abortReason(signal))
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
      onResponseStart: (_controller, status, headers) => {
        onAnyHead({ status, headers, sentAt })
        if (status >= FINAL) receiver.onHead(status, headers)
      },
      onResponseData: (started, chunk) => {
        const busy = receiver.onData(chunk)
        if (busy === undefined) return
        started.pause()
        busy.then(() => started.resume(), (error: Error) => started.abort(error))
      },
      onResponseEnd: () => settle(),
      onResponseError: (_controller, error) => settle(error)
    })
  })
}

function abortReason (signal: AbortSignal): Error {
  return signal.reason instanceof Error ? signal.reason : new Error('aborted')
}
