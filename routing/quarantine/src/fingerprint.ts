/** Knows a request again that comes anew under another id, also at another box. */
import { createHash } from 'node:crypto'

/** What makes two requests the same: who asks, and for what. Headers and ids of an attempt do not count. */
export interface RequestIdentity {
  /** The caller's organisation; none on routes that are open to everybody. */
  organisation: string | undefined
  method: string
  /** Path and query. */
  path: string
  body: Buffer | undefined
}

/** Hexadecimal digits of a fingerprint: 128 bits, so that two of a billion requests are not taken for the same. */
const DIGITS = 32

/** A digest of the request, equal in every process; nothing of its content can be read from it. */
export function computeFingerprint ({ organisation, method, path, body }: RequestIdentity): string {
  const hash = createHash('sha256')
  // The lengths come first, so that no part can run over into the next.
  for (const part of [organisation ?? '', method, path]) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  hash.update(body ?? '')
  return hash.digest('hex').slice(0, DIGITS)
}
