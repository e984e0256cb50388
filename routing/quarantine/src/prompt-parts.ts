/** The identity of the parts of prompts that may crash endpoints, and the records of those that are quarantined. */
import { createHash } from 'node:crypto'

/** Ids in this form stand in records and log lines as they are; others are replaced by a digest. */
const PLAIN_ID = /^[\w.-]{1,64}$/
/** Hexadecimal digits of a digest that replaces an id: 128 bits. */
const DIGEST_DIGITS = 32
/** Ids of one prompt that are considered. Deeper parts are rarely shared, and a caller must not fill the evidence with one request. */
const MAX_PARTS = 16

/**
 * Returns the parts of a prompt that may be quarantined, in order: all but the last, which is the request's own and which the fingerprint
 * of the whole request covers. A part that is named twice counts once.
 */
export function findSharedParts (ids: readonly string[]): string[] {
  const named = ids.map((id) => id.trim()).filter((id) => id !== '')
  const last = named.at(-1)
  return [...new Set(named)].filter((id) => id !== last).slice(0, MAX_PARTS).map(toPlainId)
}

/** Returns the name of a part of a service. What crashes the endpoints of one service may run well at another. */
export function nameOfPart (service: string, id: string): string {
  return `${encodeURIComponent(service)}/${id}`
}

/** A part of prompts that is quarantined, as its record states it. */
export interface HeldPart {
  /** The service and the id of the part; see {@link nameOfPart}. */
  part: string
  /** The only organisation for which it is quarantined; undefined if it is for all. */
  organisation?: string | undefined
  /** Number of crashes at which it was running when it was quarantined. */
  crashes: number
  /** Number of probes that crashed an endpoint. */
  failedProbes: number
  /** Permits the next request with the part at one box. */
  probe?: PartProbe | undefined
}

export interface PartProbe {
  box: string
  /** Distinguishes the probes of one part. */
  number: number
}

/** Returns the name of a quarantine: of a part for one organisation, or for all. */
export function nameOfHold ({ part, organisation }: Pick<HeldPart, 'part' | 'organisation'>): string {
  return organisation === undefined ? part : `${part}/${encodeURIComponent(organisation)}`
}

function toPlainId (id: string): string {
  return PLAIN_ID.test(id) ? id : createHash('sha256').update(id).digest('hex').slice(0, DIGEST_DIGITS)
}
