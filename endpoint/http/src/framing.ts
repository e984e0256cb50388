/** How the end of a response body is marked. */

/** By its length, by its last chunk, or by the end of its connection. */
export type Framing = 'length' | 'chunks' | 'connection'

/** Statuses of responses without a body, which need no length. */
const NO_BODY_STATUSES = new Set([204, 304])

/** Returns how the body of a response is framed. Names of headers are in lower case. */
export function framingOf (status: number, headers: Record<string, string | string[] | undefined>): Framing {
  if (headers['transfer-encoding'] !== undefined) return 'chunks'
  return headers['content-length'] !== undefined || NO_BODY_STATUSES.has(status) ? 'length' : 'connection'
}
