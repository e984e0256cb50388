/** Whether the caller of an order still waits for its answer. One that has left has asked elsewhere. */
import { type ServerResponse } from 'node:http'
import { setImmediate as nextTurn } from 'node:timers/promises'

/**
 * The end of a connection that was held up arrives at most a round trip after the request on it, in ms: two ways between
 * regions of 8 ms and to a client of 3 ms make 22, doubled.
 */
const END_FOLLOWS_MS = 45

export interface OrderCaller {
  readonly isDisconnected: boolean
  /** Looks whether the caller left before the order was read; true if it has. */
  wasDisconnectedBefore: () => Promise<boolean>
}

export class HttpCaller implements OrderCaller {
  constructor (private readonly response: ServerResponse) {}

  get isDisconnected (): boolean {
    const { destroyed, closed, socket } = this.response
    return destroyed || closed || socket === null || socket.readableEnded
  }

  /**
   * The bytes of an order that were held up on their way, or in a process that stood still, are read together with the end
   * of their connection, or a round trip before it.
   */
  async wasDisconnectedBefore (): Promise<boolean> {
    await nextTurn()
    await nextTurn()
    return this.isDisconnected || await this.leavesWithin(END_FOLLOWS_MS)
  }

  private async leavesWithin (ms: number): Promise<boolean> {
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
