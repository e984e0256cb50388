/** Tells whether the connection of a response without a length was closed in order, which the HTTP client does not report. */
import { type Socket } from 'node:net'
import { buildConnector } from 'undici'
import { ConnectionReads } from './connection-reads.ts'

/** The code of the error of a connection that was reset. */
const RESET_CODE = 'ERR_GULLWALL_CONNECTION_RESET'

/**
 * Reports how each connection ends before the HTTP client handles its end. The client accepts a response without a length as
 * complete even if the connection was reset, and the runtime reports a reset that arrives together with data as an ordinary end.
 */
export class ConnectionEnds {
  /** How the connection whose end is being handled ended; undefined at any other time. */
  private ending: Promise<boolean> | undefined

  /** Whether the connection that is ending at this moment was closed by the endpoint rather than reset. */
  async wasClosedCleanly (): Promise<boolean> {
    return await (this.ending ?? false)
  }

  /**
   * Returns a connector for a pool of the HTTP client. The bytes of its connections are bounded, so that only exchanges may use the pool:
   * they report the progress of their responses.
   */
  createConnector (timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs })
    return (options, callback) => {
      connect(options, (...result) => {
        // The HTTP client gives no second argument with an error.
        const socket: Socket | null | undefined = result[1]
        if (socket != null) new ConnectionReads(socket).watch()
        socket?.prependListener('end', () => this.recordEnding(isWritable(socket)))
        socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
          this.recordEnding(Promise.resolve(false))
          // The HTTP client takes a reset for the end of a response without a length, and ends the process if that response is paused.
          if (error.code === 'ECONNRESET') error.code = RESET_CODE
        })
        callback(...result)
      })
    }
  }

  /** The HTTP client handles the end of a connection before the next tick, so that no response can be judged by another connection. */
  private recordEnding (wasClosedCleanly: Promise<boolean>): void {
    this.ending = wasClosedCleanly
    process.nextTick(() => { if (this.ending === wasClosedCleanly) this.ending = undefined })
  }
}

/** Tests whether a connection was closed in order: a write fails at once after a reset, and succeeds after a close by the peer. */
async function isWritable (socket: Socket): Promise<boolean> {
  return await new Promise((resolve) => {
    socket.write('\r\n', (error) => resolve(error == null))
  })
}
