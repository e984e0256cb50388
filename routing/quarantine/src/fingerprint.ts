/** Fingerprints that identify a repeated request under another id, also on another box. */
import { createHash } from 'node:crypto'

/** The parts that are equal in repeats of one request. Headers and attempt ids are not part of the identity. */
export interface RequestIdentity {
  /** The caller's organisation; undefined on public routes. */
  organisation: string | undefined
  method: string
  /** Path and query. */
  path: string
  body: Buffer | undefined
}

/** Hexadecimal digits of a fingerprint: 128 bits, so that collisions are unlikely among a billion requests. */
const DIGITS = 32

/** Computes a digest of the request that is the same in every process and does not reveal its content. */
export function computeFingerprint ({ organisation, method, path, body }: RequestIdentity): string {
  const hash = createHash('sha256')
  // Each part is preceded by its length, so that different divisions into parts give different digests.
  for (const part of [organisation ?? '', method, path]) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  hash.update(body ?? '')
  return hash.digest('hex').slice(0, DIGITS)
}
