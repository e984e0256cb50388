/** Checks of the service as a whole: planned stops cut nothing, no process ends by itself, nothing starves, all recovers. */
import { KINDS } from '../documents.ts'
import { type Behaviour } from '../engine.ts'
import { type Attempt, CONTACT_MS, type Journal } from '../journal.ts'
import { GRACE_MS } from '../site.ts'
import { type Check } from './violation.ts'

/** What a planned stop may take beyond its grace time, on a machine that does other work, in ms. */
const STOP_SLACK_MS = 1500
const WINDOW_MS = 5000
/** Fewer requests of a kind than this in a window tell nothing. */
const MIN_REQUESTS = 20
const SERVED_SHARE = 0.5
/** The behaviour of engines that send bytes without end. */
const FLOODING: Behaviour = 'sending without end'
const RECOVERED_SHARE = 0.9
/** After the last fault so much time is left until all must be well, in ms. */
export const RECOVER_MS = 10_000

/** A request that was passed on gets its whole answer while its gateway stops as planned. */
export const stopsCutNothing: Check = ({ journal }) => {
  const stops = journal.disturbances.filter(({ what }) => what === 'SIGTERM')
  return journal.attempts.flatMap((attempt) => {
    const { gateway, sentAt, endedAt } = attempt
    if (attempt.failure !== 'closed' || endedAt === undefined) return []
    const isPlanned = stops.some(({ who, from, to }) => who === gateway && from <= endedAt && to >= sentAt)
    const runs = journal.runsOf(attempt.id)
    if (!isPlanned || runs.length === 0 || runs.some(({ isBrokenOff }) => isBrokenOff === true)) return []
    const engines = runs.map(({ engine }) => engine)
    if (hasOtherTrouble(journal, [gateway, 'core', ...engines], sentAt, endedAt)) return []
    return [{ check: 'planned-stop', at: sentAt, subject: attempt.id, what: `${attempt.kind} was cut off by the planned stop of ${gateway}` }]
  })
}

function hasOtherTrouble (journal: Journal, who: readonly string[], from: number, to: number): boolean {
  return journal.disturbances.some((disturbance) => (
    disturbance.what !== 'SIGTERM' && (disturbance.who === 'all' || who.includes(disturbance.who)) &&
    disturbance.from <= to && disturbance.to >= from - CONTACT_MS
  ))
}

/** No process ends unless it was asked to, and one that was asked ends well and in time. */
export const endsAsAsked: Check = ({ journal }) => journal.ends.flatMap(({ who, at, asked, askedAt, code }) => {
  if (asked === 'SIGKILL') return []
  const tookMs = Math.round(at - askedAt)
  const isWell = asked === 'SIGTERM' && code === 0 && tookMs <= GRACE_MS + STOP_SLACK_MS
  if (isWell) return []
  const what = asked === undefined ? `ended by itself with code ${code}` : `ended with code ${code}, ${tookMs} ms after SIGTERM`
  return [{ check: 'ends', at, subject: `${who} ${Math.round(at)}`, what: `${who} ${what}` }]
})

/** While nothing is disturbed, every kind of request is served. */
export const nothingStarves: Check = ({ journal }) => {
  const windows = Math.floor((journal.now - WINDOW_MS) / WINDOW_MS)
  return Array.from({ length: Math.max(0, windows) }, (_, index) => index * WINDOW_MS).flatMap((from) => {
    if (!isQuiet(journal, from, from + WINDOW_MS)) return []
    return kindsBelow(journal, from, from + WINDOW_MS, SERVED_SHARE).map((what) => (
      { check: 'starve', at: from, subject: `${what.split(':')[0] ?? ''} from ${from}`, what }
    ))
  })
}

function isQuiet ({ disturbances }: Journal, from: number, to: number): boolean {
  return !disturbances.some((disturbance) => disturbance.from <= to + WINDOW_MS && disturbance.to >= from - CONTACT_MS)
}

/** While engines send bytes without end and nothing else is disturbed, half of the requests that did not get such bytes are served. */
export const othersAreServed: Check = ({ journal, isOver }) => {
  if (!isOver) return []
  const spells = journal.disturbances.filter(({ what, to }) => what === FLOODING && to < Infinity)
  const flooded = new Set(journal.floods.map(({ id }) => id))
  const others = journal.disturbances.filter(({ what }) => what !== FLOODING)
  return spells.flatMap(({ who, from, to }) => {
    if (others.some((disturbance) => disturbance.from <= to && disturbance.to >= from - CONTACT_MS)) return []
    return kindsBelow(journal, from, to, SERVED_SHARE, ({ id }) => !flooded.has(id)).map((what) => (
      { check: 'beside', at: from, subject: `${what.split(':')[0] ?? ''} beside ${who}`, what }
    ))
  })
}

/** Some seconds after the last fault nearly everything is served. */
export const recovers: Check = ({ journal, healedAt, isOver }) => {
  if (!isOver || healedAt === undefined) return []
  return kindsBelow(journal, healedAt + RECOVER_MS, Infinity, RECOVERED_SHARE).map((what) => (
    { check: 'recover', at: healedAt, subject: what.split(':')[0] ?? '', what }
  ))
}

function kindsBelow (journal: Journal, from: number, to: number, share: number, counts = (_attempt: Attempt) => true): string[] {
  return KINDS.flatMap(({ name }) => {
    // Streams whose callers do not name the request that began them are refused while the build is not known.
    const asked = journal.attempts.filter(({ kind, sentAt, endedAt, failure, naming = 'first' }) => (
      kind === name && sentAt >= from && sentAt < to && endedAt !== undefined && failure !== 'left' && naming === 'first'
    )).filter(counts)
    const served = asked.filter(isServed).length
    if (asked.length < MIN_REQUESTS || served >= share * asked.length) return []
    const statuses = [...new Set(asked.filter((attempt) => !isServed(attempt)).map(({ status, failure }) => status ?? failure))]
    return [`${name}: ${served} of ${asked.length} served; others ${statuses.join(', ')}`]
  })
}

function isServed ({ status, isWhole }: Attempt): boolean {
  return status === 200 && isWhole === true
}
