/**
 * The first exchange on a link: each side says who it is and proves that it
 * holds the shared key, without sending the key.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'

export const PROTOCOL_VERSION = 1
const NONCE_BYTES = 16

export const identitySchema = z.object({
  protocol: z.number().int(),
  role: z.enum(['entry', 'sidecar', 'control', 'operator']),
  /** The process's name: a box, or a control member. */
  name: z.string(),
  startId: z.string(),
  dataCentre: z.string(),
  nonce: z.string()
})

export const proofSchema = z.object({ proof: z.string() })

/** Who is at one end of a link. */
export type LinkIdentity = z.infer<typeof identitySchema>

/** A process's identity without what changes with each link. */
export type LocalIdentity = Omit<LinkIdentity, 'protocol' | 'nonce'>

export function newIdentity (local: LocalIdentity): LinkIdentity {
  return { ...local, protocol: PROTOCOL_VERSION, nonce: randomBytes(NONCE_BYTES).toString('hex') }
}

/** Proves to `theirs` that `mine` holds the key. */
export function proofOf (key: string, mine: LinkIdentity, theirs: LinkIdentity): string {
  const hmac = createHmac('sha256', key)
  for (const part of [mine.role, mine.name, mine.startId, mine.dataCentre, mine.nonce, theirs.nonce]) {
    hmac.update(part).update('\0')
  }
  return hmac.digest('hex')
}

export function proofMatches (key: string, mine: LinkIdentity, theirs: LinkIdentity, proof: string): boolean {
  const expected = Buffer.from(proofOf(key, theirs, mine))
  const given = Buffer.from(proof)
  return expected.length === given.length && timingSafeEqual(expected, given)
}
