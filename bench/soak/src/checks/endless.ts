/** Checks while engines send bytes without end: the gateway closes their connections, holds little memory and serves the others. */
import { TIMEOUT_MS } from '../documents.ts'
import { ALL, type Flood, type Journal } from '../journal.ts'
import { type Bounds, type Check } from './violation.ts'

/** Within this time a connection with bytes that are no answer is closed. No slack applies: the deadline of the request would end them. */
const ENDLESS_MS = 2000
/** The memory of a gateway's box. */
const MAX_MEMORY_BYTES = 200_000_000

/** A gateway closes a connection on which an engine sends bytes without end. */
export const floodsAreClosed: Check = ({ journal, bounds }) => journal.floods.flatMap((flood) => {
  const { at, endedAt = journal.now, incarnation, from, place, id } = flood
  if (endedAt <= latestEnd(flood, journal, bounds) + heldMs(journal, at, endedAt) || isDisturbed(journal, flood, endedAt)) return []
  const what = `at ${incarnation} from ${from}: ${place}, held for ${Math.round(endedAt - at)} ms${flood.endedAt === undefined ? ' so far' : ''}`
  return [{ check: 'unbounded', at, subject: `${id} ${incarnation}`, what }]
})

/** What may be an answer that is just long has the time of its request. */
function latestEnd ({ at, id, mayBeAnswer }: Flood, journal: Journal, bounds: Bounds): number {
  const deadline = (journal.sentAtOf(id) ?? at) + TIMEOUT_MS
  return mayBeAnswer ? Math.max(deadline + bounds.lateAnswerMs, at + ENDLESS_MS) : at + ENDLESS_MS
}

/** For how long this process, which engines and proxies run in, stood still between two times. */
function heldMs ({ disturbances }: Journal, from: number, to: number): number {
  const spells = disturbances.filter(({ who }) => who === ALL).map((spell) => Math.min(spell.to, to) - Math.max(spell.from, from))
  return spells.filter((ms) => ms > 0).reduce((sum, ms) => sum + ms, 0)
}

/** Whether the gateway could not see the bytes, or not close: connections that were forgotten carry neither. */
function isDisturbed ({ disturbances }: Journal, { at, engine, from }: Flood, endedAt: number): boolean {
  return disturbances.some((spell) => spell.from <= endedAt && (
    (spell.who === from && spell.to >= at) || (spell.who === engine && spell.what === 'forgot connections' && spell.to >= at - TIMEOUT_MS)
  ))
}

/** No gateway has held more memory than its box has, in a run in which engines sent bytes without end. */
export const memoryIsBounded: Check = ({ journal }) => [...journal.peakBytes].flatMap(([gateway, bytes]) => {
  if (journal.floods.length === 0 || bytes <= MAX_MEMORY_BYTES) return []
  return [{ check: 'memory', at: journal.floods[0]?.at ?? 0, subject: gateway, what: `${gateway} held ${Math.round(bytes / 1e6)} MB` }]
})
