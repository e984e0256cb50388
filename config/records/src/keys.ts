/**
 * Organisation keys: `gw.ORGANISATION.SECRET`. Records hold only a salted hash
 * of the secret. The secret is random and long, so one round of SHA-256 will do.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import { type OrganisationRecord } from './schemas.ts'

const SECRET_BYTES = 24
const SALT_BYTES = 12

/** A fresh key and the hash to put into the organisation's record. */
export interface NewKey {
  key: string
  hash: string
}

export function newOrganisationKey (organisation: string): NewKey {
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  return { key: `gw.${organisation}.${secret}`, hash: hashSecret(secret) }
}

/** Gives the stored form of a secret. */
export function hashSecret (secret: string, salt = randomBytes(SALT_BYTES).toString('hex')): string {
  return `sha256:${salt}:${digest(salt, secret).toString('hex')}`
}

/** The parts of a key, or undefined if it has not the form of one. */
export function splitKey (key: string): { organisation: string, secret: string } | undefined {
  const match = /^gw\.(.+)\.([A-Za-z0-9_-]+)$/.exec(key)
  if (match === null) return undefined
  return { organisation: match[1] ?? '', secret: match[2] ?? '' }
}

/** Compares a secret with each stored hash, in constant time for each. */
export function secretMatches (secret: string, organisation: OrganisationRecord): boolean {
  let found = false
  for (const stored of organisation.keys) {
    const [, salt = '', hash = ''] = stored.split(':')
    if (timingSafeEqual(digest(salt, secret), Buffer.from(hash, 'hex'))) found = true
  }
  return found
}

function digest (salt: string, secret: string): Buffer {
  return createHash('sha256').update(salt).update(secret).digest()
}
