/** Knows which responses of a server have not been sent to their end, and stops the server without cutting one off. */
import { type Server, type ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'

const POLL_INTERVAL_MS = 20

export class ResponseTracker {
  private readonly open = new Set<ServerResponse>()

  constructor (private readonly server: Server) {
    server.prependListener('request', (_request, response: ServerResponse) => {
      this.open.add(response)
      response.once('close', () => this.open.delete(response))
    })
  }

  /** Number of responses that have not been sent to their end, and whose connection is open. */
  get count (): number {
    return this.open.size
  }

  /** Waits until every response has been sent. */
  async drained (): Promise<void> {
    while (this.open.size > 0) await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }

  /**
   * Accepts no more connections, closes idle ones, and closes all once every response has been sent.
   * @param endsAt when all are closed in any case, by the monotonic clock
   */
  async stop (endsAt = Infinity): Promise<void> {
    // The HTTP server's own method also closes connections whose response is written but not sent.
    NetServer.prototype.close.call(this.server)
    while (this.open.size > 0 && performance.now() < endsAt) {
      this.closeIdleConnections()
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
    this.server.closeAllConnections()
  }

  /** The server takes a connection for idle as soon as its response is written, whether or not the caller has received it. */
  private closeIdleConnections (): void {
    if (![...this.open].some((response) => response.writableEnded)) this.server.closeIdleConnections()
  }
}
