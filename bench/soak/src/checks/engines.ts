/** Checks of what reaches engines: nothing for those that leave or are evacuated, little for cold ones, none abroad. */
import { COLD, KINDS, REGIONS, TIMEOUT_MS } from '../documents.ts'
import { type Journal, type Run } from '../journal.ts'
import { type Check, type Violation } from './violation.ts'

const SECOND_MS = 1000
const LIMIT_WINDOW_MS = 4000
/** Below it requests tell whether a limit is over. */
const LEAST_PER_SECOND = 0.1
/** Requests that arrive later than they were sent: one may fall into the window of the next. */
const ON_ITS_WAY = 1
/** With so many engines ended under a request it is to be known. */
const CRASHES_TO_KNOW = 3
const PART_CRASHES_TO_KNOW = 5
/** Fewer requests beside a part tell nothing. */
const MIN_NEIGHBOURS = 20
const MIN_NEIGHBOURS_SERVED = 0.5

/** An engine that leaves gets nothing a few seconds after that was acknowledged. */
export const leavingGetNothing: Check = ({ journal, bounds }) => {
  const ackedAtOf = new Map(journal.leavings.map(({ incarnation, ackedAt }) => [incarnation, ackedAt]))
  return journal.runs.flatMap((run) => {
    const lateMs = run.at - (ackedAtOf.get(run.incarnation) ?? Infinity)
    if (lateMs <= bounds.leavingMs || !journal.isInTouch(run.from, run.at)) return []
    return [violation('leaves', run, `${Math.round(lateMs)} ms after it was acknowledged that it leaves`)]
  })
}

/** Nothing reaches a data centre some seconds after its evacuation was acknowledged, whatever was disturbed meanwhile. */
export const evacuatedGetNothing: Check = ({ journal, bounds }) => {
  const spells = evacuationsOf(journal)
  return journal.runs.flatMap((run) => {
    const spell = spells.find(({ dataCentre, from, to }) => (
      dataCentre === run.dataCentre && run.at > from + bounds.evacuationMs && run.at < to
    ))
    if (spell === undefined || !journal.isInTouch(run.from, run.at)) return []
    return [violation('evacuation', run, `${Math.round(run.at - spell.from)} ms after the evacuation of ${run.dataCentre} was acknowledged`)]
  })
}

function evacuationsOf ({ orders }: Journal): Array<{ dataCentre: string, from: number, to: number }> {
  return orders.flatMap((order, index) => {
    if (order.kind !== 'evacuate' || order.ackedAt === undefined) return []
    const back = orders.slice(index).find(({ kind, text }) => kind === 'return' && text === order.text)
    return [{ dataCentre: order.text, from: order.ackedAt, to: back?.sentAt ?? Infinity }]
  })
}

/** A cold engine gets no more in any second than its service allows, over all gateways. */
export const coldSpared: Check = ({ journal }) => {
  const most = COLD.perSecond * COLD.overrun + COLD.slack
  return journal.coldSpells.flatMap(({ incarnation, from, to }) => {
    const runs = journal.runs.filter((run) => run.incarnation === incarnation && run.service === 'model' && run.at >= from && run.at < to)
    return runs.flatMap((run, index) => {
      const within = runs.slice(index).filter(({ at }) => at < run.at + SECOND_MS).length
      return within > most ? [violation('cold', run, `${within} requests within a second, ${most} allowed`)] : []
    })
  })
}

/** A request under which engines crash reaches few more once it has ended three and all could know. */
export const crashingIsHeld: Check = ({ journal, bounds }) => {
  const bodies = new Set(journal.crashes.map(({ body }) => body))
  return [...bodies].flatMap((body) => {
    const runs = journal.crashes.filter((run) => run.body === body)
    const knownFrom = (runs[CRASHES_TO_KNOW - 1]?.at ?? Infinity) + bounds.knownMs
    const late = runs.filter(({ from, at }) => at > knownFrom && journal.isInTouch(from, at))
    const [, , , oneTooMany] = late
    if (oneTooMany === undefined) return []
    const { at, engine, from } = oneTooMany
    return [{ check: 'crashing', at, subject: body, what: `at ${engine} from ${from}: reached ${runs.length} engines, ${late.length} of them once it was known` }]
  })
}

/** A part of prompts under which engines crash reaches few more once it has ended five and all could know. */
export const crashingPartIsHeld: Check = ({ journal, bounds }) => {
  const parts = new Set(journal.partCrashes.map(({ body }) => body))
  return [...parts].flatMap((part) => {
    const runs = journal.partCrashes.filter((run) => run.body === part)
    const knownFrom = (runs[PART_CRASHES_TO_KNOW - 1]?.at ?? Infinity) + bounds.knownMs
    const late = runs.filter(({ from, at }) => at > knownFrom && journal.isInTouch(from, at))
    const [, , , oneTooMany] = late
    if (oneTooMany === undefined) return []
    const { at, engine, from } = oneTooMany
    const what = `at ${engine} from ${from}: reached ${runs.length} engines, ${late.length} of them once it was known`
    return [{ check: 'crashing-part', at, subject: part, what }]
  })
}

/** Sound requests beside those with such a part are served once the part could be known. */
export const neighboursAreServed: Check = ({ journal, bounds }) => {
  const parts = new Set(journal.neighbours.map(({ part }) => part))
  return [...parts].flatMap((part) => {
    const crashes = journal.partCrashes.filter(({ body }) => body === part)
    // No engine crashes under a part that was held before.
    const lastThatCounts = crashes[Math.min(PART_CRASHES_TO_KNOW, crashes.length) - 1]?.at ?? 0
    const engines = [...new Set(crashes.map(({ engine }) => engine))]
    const sent = journal.neighbours.filter((neighbour) => neighbour.part === part && neighbour.sentAt > lastThatCounts + 2 * bounds.knownMs)
      .filter(({ sentAt }) => sentAt < journal.now - TIMEOUT_MS)
      .filter(({ gateway, sentAt }) => journal.isCalm([gateway, ...engines], sentAt))
    const served = sent.filter(({ isServed }) => isServed).length
    if (sent.length < MIN_NEIGHBOURS || served >= sent.length * MIN_NEIGHBOURS_SERVED) return []
    return [{ check: 'part-neighbours', at: lastThatCounts, subject: part, what: `${served} of ${sent.length} sound requests beside it were served` }]
  })
}

/** A gateway that was asked for rest sends no more than what was under way, unless it was restarted, frozen or cut off since. */
export const restIsKept: Check = ({ journal, bounds }) => journal.rests.flatMap(({ incarnation, from, at, ms }) => {
  const until = at + ms
  const within = journal.arrivals.filter((arrival) => (
    arrival.incarnation === incarnation && arrival.from === from && arrival.at > at + bounds.underWayMs && arrival.at < until
  ))
  const [, , oneTooMany] = within
  if (oneTooMany === undefined || !journal.isCalm([from], at, oneTooMany.at)) return []
  const what = `at ${incarnation} from ${from}: ${within.length} within the ${ms} ms for which it wanted nothing`
  return [{ check: 'rest', at: oneTooMany.at, subject: `${incarnation} ${Math.round(at)}`, what }]
})

/** An engine that names a limit gets no more than that over any four seconds, from all gateways that nothing has disturbed since. */
export const limitIsKept: Check = ({ journal, bounds }) => journal.limits.flatMap(({ incarnation, perSecond, from, to }) => {
  const named = journal.arrivals.find((arrival) => arrival.incarnation === incarnation && arrival.at >= from && arrival.at < to)
  const since = (named?.at ?? Infinity) + bounds.limitHeardMs
  const counted = journal.arrivals.filter((arrival) => (
    arrival.incarnation === incarnation && arrival.at >= since && arrival.at < to && journal.isCalm([arrival.from], since, arrival.at)
  ))
  const most = Math.ceil(Math.max(perSecond, LEAST_PER_SECOND) * LIMIT_WINDOW_MS / SECOND_MS) + ON_ITS_WAY
  return counted.flatMap(({ at, id, from: gateway }, index) => {
    const within = counted.slice(index).filter((arrival) => arrival.at < at + LIMIT_WINDOW_MS).length
    const what = `at ${incarnation} from ${gateway} and others: ${within} within ${LIMIT_WINDOW_MS} ms, ${perSecond} a second named`
    return within > most ? [{ check: 'limit', at, subject: id, what }] : []
  })
})

/** A gateway that was told in an answer that an engine drains sends nothing there that came later, whatever else it hears. */
export const drainWordIsKept: Check = ({ journal, bounds }) => journal.drainWords.flatMap(({ incarnation, from, at }) => {
  const late = journal.runs.find((run) => (
    run.incarnation === incarnation && run.from === from && (journal.sentAtOf(run.id) ?? -Infinity) > at + bounds.drainMs
  ))
  if (late === undefined || hasNewLife(journal, from, at, late.at)) return []
  return [violation('drains', late, `${Math.round(late.at - at)} ms after it had told so in an answer`)]
})

/** Whether a gateway was started again, or stood still, between two times: it may have forgotten what it was told. */
function hasNewLife ({ disturbances }: Journal, gateway: string, from: number, to: number): boolean {
  return disturbances.some(({ who, what, ...spell }) => (
    who === gateway && ['SIGTERM', 'SIGKILL', 'frozen'].includes(what) && spell.from <= to && spell.to >= from
  ))
}

/** A request with regions of its own is seen by no engine of another one. */
export const stayHome: Check = ({ journal }) => {
  const kinds = new Map(journal.attempts.map(({ id, kind }) => [id, kind]))
  const allowed = new Map(KINDS.map(({ name, allowedRegions }) => [name, allowedRegions]))
  return journal.runs.flatMap((run) => {
    const regions = allowed.get(kinds.get(run.id) ?? '')
    const region = REGIONS[run.dataCentre as keyof typeof REGIONS]
    return regions === undefined || regions.includes(region) ? [] : [violation('region', run, `in the region ${region}`)]
  })
}

function violation (check: string, { id, at, engine, from }: Run, what: string): Violation {
  return { check, at, subject: id, what: `at ${engine} from ${from}: ${what}` }
}
