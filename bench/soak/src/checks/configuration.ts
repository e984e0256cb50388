/** Checks of what the operator was told: acknowledged configuration is in force in time, never reverts, and is read back. */
import { droppedIn, guestKey, KEY, versionPrefix } from '../documents.ts'
import { type Attempt, type Journal, type Order } from '../journal.ts'
import { type Check, type Violation } from './violation.ts'

const NOT_ALLOWED = [401, 403, 404]

/** A route or key that every version holds is never refused, nor one of a version that was acknowledged long enough ago. */
export const inForce: Check = ({ journal, bounds }) => {
  const acked = documentsOf(journal).filter(({ ackedAt }) => ackedAt !== undefined)
  const ackedAtOf = new Map(acked.map(({ version, ackedAt }) => [versionPrefix(version), ackedAt ?? Infinity]))
  return journal.attempts.flatMap((attempt) => {
    if (attempt.key !== KEY || !NOT_ALLOWED.includes(attempt.status ?? 0)) return []
    if (attempt.kind !== 'version') return [violation(attempt, `refused with ${attempt.status} although every version allows it`)]
    const ackedAt = earliestAck(attempt, ackedAtOf)
    const isLate = attempt.sentAt > ackedAt + bounds.configurationMs
    if (!isLate || !journal.isInTouch(attempt.gateway, attempt.sentAt, attempt.endedAt)) return []
    return [violation(attempt, `${attempt.status} for a route that was acknowledged ${Math.round(attempt.sentAt - ackedAt)} ms before`)]
  })
}

function earliestAck ({ path }: Attempt, ackedAtOf: ReadonlyMap<string, number>): number {
  return ackedAtOf.get(path.slice(0, path.lastIndexOf('/') + 1)) ?? Infinity
}

/** A key that was taken away opens nothing once that is in force. */
export const keysDropped: Check = ({ journal, bounds }) => {
  const acked = documentsOf(journal).filter(({ ackedAt }) => ackedAt !== undefined)
  const dropped = (key: string): number => {
    const droppers = acked.filter(({ text, version }) => !text.includes(`"${key}"`) && version >= droppedIn(versionOfKey(key)))
    return Math.min(...droppers.map(({ ackedAt }) => ackedAt ?? Infinity))
  }
  return journal.attempts.flatMap((attempt) => {
    if (attempt.kind !== 'guest' || journal.runsOf(attempt.id).length === 0) return []
    const droppedAt = dropped(attempt.key)
    const isLate = attempt.sentAt > droppedAt + bounds.configurationMs
    if (!isLate || !journal.isInTouch(attempt.gateway, attempt.sentAt, attempt.endedAt)) return []
    return [violation(attempt, `ran with ${attempt.key}, dropped ${Math.round(attempt.sentAt - droppedAt)} ms before`)]
  })
}

function versionOfKey (key: string): number {
  return Number(key.slice(guestKey(0).length - 1))
}

/** A gateway that has shown a version does not go back behind it while its process lives. */
export const noReturn: Check = ({ journal, bounds }) => {
  const seen = new Map<string, { version: number, at: number }>()
  const probes = journal.attempts.filter(({ kind, endedAt }) => kind === 'version' && endedAt !== undefined)
  const byEnd = [...probes].sort((left, right) => (left.endedAt ?? 0) - (right.endedAt ?? 0))
  return byEnd.flatMap((attempt) => {
    const life = `${attempt.gateway} ${attempt.life}`
    const version = Number(/\d+/.exec(attempt.path)?.[0])
    const known = seen.get(life)
    if (attempt.status === 200 && (known === undefined || version > known.version)) seen.set(life, { version, at: attempt.endedAt ?? 0 })
    if (attempt.status !== 404 || known === undefined) return []
    if (version > known.version || attempt.sentAt <= known.at + bounds.crossingMs) return []
    return [violation(attempt, `no route of version ${version} although ${known.version} was in force`)]
  })
}

/** What is read back is what was sent under its number, and no older than what was acknowledged long enough before. */
export const readBack: Check = ({ journal, bounds }) => {
  const sent = documentsOf(journal)
  return journal.readings.flatMap(({ at, version, text, from }) => {
    const newest = newestAcked(sent, at - bounds.configurationMs)
    const order = sent.find((known) => known.version === version)
    const isOther = order === undefined || !isSame(order.text, text)
    if (version >= newest && !isOther) return []
    const what = isOther ? `version ${version} differs from what was sent` : `version ${version} although ${newest} was acknowledged`
    return [{ check: 'config', at, subject: `reading ${at} at ${from}`, what }]
  })
}

/** Nothing invalid is acknowledged, and nothing valid is refused. */
export const acknowledgements: Check = ({ journal }) => journal.orders.flatMap((order) => {
  const { kind, version, isValid, sentAt, ackedAt, refusedWith } = order
  const isWrong = isValid ? refusedWith !== undefined && kind === 'document' : ackedAt !== undefined
  if (!isWrong) return []
  const what = isValid ? `a valid document was refused with ${refusedWith}` : 'an invalid document was acknowledged'
  return [{ check: 'config', at: sentAt, subject: `version ${version}`, what }]
})

/** At the end the newest acknowledged document is there. */
export const nothingLost: Check = ({ journal, isOver }) => {
  if (!isOver) return []
  const newest = newestAcked(documentsOf(journal), Infinity)
  const read = Math.max(0, ...journal.readings.slice(-1).map(({ version }) => version))
  return read >= newest ? [] : [{ check: 'config', at: journal.now, subject: 'the end', what: `version ${newest} was acknowledged, ${read} is there` }]
}

/** The operator changes the document while the standings are read. */
const MAX_BEHIND = 3

/** A control process that nothing disturbs any more holds what the leader holds. */
export const catchesUp: Check = ({ journal }) => journal.standings.flatMap(({ at, control, behind }) => {
  if (behind !== undefined && behind <= MAX_BEHIND) return []
  return [{ check: 'catches-up', at, subject: control, what: behind === undefined ? 'it does not say how far it is' : `${behind} entries behind the leader` }]
})

function documentsOf (journal: Journal): Order[] {
  return journal.orders.filter(({ kind, isValid }) => kind === 'document' && isValid)
}

function newestAcked (orders: readonly Order[], until: number): number {
  return Math.max(0, ...orders.filter(({ ackedAt }) => ackedAt !== undefined && ackedAt <= until).map(({ version }) => version))
}

function isSame (left: string, right: string): boolean {
  return JSON.stringify(JSON.parse(left)) === JSON.stringify(JSON.parse(right))
}

function violation ({ id, sentAt, kind, gateway }: Attempt, what: string): Violation {
  return { check: 'config', at: sentAt, subject: id, what: `${kind} by ${gateway}: ${what}` }
}
