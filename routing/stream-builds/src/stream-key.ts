/** The key under which the binding of a stream is held. */
import { createHash } from 'node:crypto'

/** Characters of a key: 66 bits, so that among a million keys a lookup finds a wrong one once in 10^13 times. */
const KEY_LENGTH = 11

export interface StreamName {
  /** The organisation of the caller; undefined on a public route. */
  organisation: string | undefined
  route: string
  /** The id of the request that brought the first event. */
  requestId: string
}

/** Returns the key of a stream. A caller of another organisation or on another route has another key for the same id. */
export function streamKeyOf ({ organisation, route, requestId }: StreamName): string {
  return createHash('sha256').update(JSON.stringify([organisation ?? null, route, requestId])).digest('base64url').slice(0, KEY_LENGTH)
}
