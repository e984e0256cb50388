/** Yields to the event loop before a request is sent. */
import { setImmediate as nextTurn } from 'node:timers/promises'

/**
 * Lets the event loop poll its sockets once more. After the loop was blocked, a request and the end of its connection are read
 * together; without this poll, the request would be sent to an endpoint although its caller has disconnected.
 */
export async function yieldToIo (): Promise<void> {
  // The first turn ends the turn in which the request was read; the second turn follows the next poll of the sockets.
  await nextTurn()
  await nextTurn()
}
