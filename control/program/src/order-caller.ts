/** Detects whether the caller of an order is still connected. A disconnected caller has sent the order to another process. */
import { type ServerResponse } from 'node:http'
import { setImmediate as nextTurn } from 'node:timers/promises'

/**
 * Longest time between the arrival of a delayed request and the arrival of the end of its connection, in ms: twice a round trip of
 * 22 ms, which consists of 8 ms between regions and 3 ms to the client in each direction.
 */
const DISCONNECT_DELAY_MS = 45

export interface OrderCaller {
  readonly isDisconnected: boolean
  /** Checks whether the caller disconnected before the order was read. */
  detectDisconnect: () => Promise<boolean>
}

export class HttpCaller implements OrderCaller {
  constructor (private readonly response: ServerResponse) {}

  get isDisconnected (): boolean {
    const { destroyed, closed, socket } = this.response
    return destroyed || closed || socket === null || socket.readableEnded
  }

  /**
   * Waits for a possible end of the connection. If an order was delayed by the network or by a suspended process, the end of its
   * connection is read together with the order or within a round trip after it.
   */
  async detectDisconnect (): Promise<boolean> {
    await nextTurn()
    await nextTurn()
    return this.isDisconnected || await this.disconnectsWithin(DISCONNECT_DELAY_MS)
  }

  private async disconnectsWithin (ms: number): Promise<boolean> {
    const { response } = this
    const { socket } = response
    return await new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer)
        response.off('close', settle)
        socket?.off('end', settle)
        resolve(this.isDisconnected)
      }
      const timer = setTimeout(settle, ms)
      response.once('close', settle)
      socket?.once('end', settle)
    })
  }
}
