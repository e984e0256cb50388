/**
 * Aborts a request of the HTTP client. The client goes on with the bytes that it has after its callback for data, also if the request was
 * aborted there, and then fails at the end of the message. So the connection is closed once the client has handled those bytes.
 */
import { type Dispatcher } from 'undici'

export class ConnectionAbort {
  private isReceivingData = false
  /** Why the request was aborted; undefined if it was not. Its message may end all the same. */
  reason: Error | undefined

  /** Runs what follows from received data. Nothing follows once the request has been aborted. */
  receiveData (handle: () => void): void {
    if (this.reason !== undefined) return
    this.isReceivingData = true
    try {
      handle()
    } finally {
      this.isReceivingData = false
    }
  }

  /** Closes the connection of a request that may have been sent. */
  abort (controller: Dispatcher.DispatchController, reason: Error): void {
    this.reason ??= reason
    if (this.isReceivingData) queueMicrotask(() => controller.abort(reason))
    else controller.abort(reason)
  }
}
