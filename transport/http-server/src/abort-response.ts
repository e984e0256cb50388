/** Ends a response that can't be completed. */
import { type ServerResponse } from 'node:http'

/**
 * Closes the connection of a response, so that the caller can't mistake a part for the whole. A response in chunks misses its last
 * chunk. One that is marked by the end of its connection, as for callers of HTTP/1.0, looks complete unless the connection is reset.
 */
export function abortResponse (response: ServerResponse): void {
  const { socket } = response
  if (response.headersSent && !response.useChunkedEncodingByDefault && !response.hasHeader('content-length')) socket?.resetAndDestroy()
  response.destroy()
}
