/** Checks of single requests: whole answers to their own caller, no run too many, and nothing said that is not true. */
import { answerBody } from '../answers.ts'
import { KEY, KINDS, MAX_ATTEMPTS } from '../documents.ts'
import { type Attempt, type Journal, type Run } from '../journal.ts'
import { wrongStream } from './streams.ts'
import { type Check, type Violation } from './violation.ts'

const OK = 200
const UNAUTHORISED = 401
/** Statuses that promise the caller that its request has not run and never will. */
const REFUSALS = [503, 429, 408, 421]
const REQUEST_ID = 'x-gullwall-request-id'
const STREAMS = new Set(KINDS.filter(({ route }) => route === 'stream').map(({ name }) => name))
/** Kinds whose requests may run once at most. */
const ONCE = new Set(KINDS.filter(({ route, isResumable }) => route === 'once' || (route === 'stream' && !isResumable)).map(({ name }) => name))

/** A success is the whole answer of a run of this very request; a stream that looks whole has all events, in order. */
export const wholeAnswers: Check = ({ journal }) => forAnswers(journal, 'whole', (attempt) => {
  if (attempt.status !== OK) return undefined
  if (attempt.headers?.[REQUEST_ID] !== attempt.id) return `the answer is that of ${String(attempt.headers?.[REQUEST_ID])}`
  return STREAMS.has(attempt.kind) ? wrongStream(attempt, journal) : wrongBody(attempt, journal)
})

function wrongBody ({ id, body = '', isWhole }: Attempt, journal: Journal): string | undefined {
  if (isWhole !== true) return undefined
  const runs = journal.runsOf(id)
  if (runs.some((run) => answerBody(id, run.serial) === body || endsWhereItWasClosed(run, body))) return undefined
  const broken = runs.flatMap(({ brokenBy }) => brokenBy === undefined ? [] : [`${brokenBy.isFramed ? 'framed' : 'unframed'} ${brokenBy.end}`])
  return `not the whole answer of one run (broken off: ${broken.join(', ') || 'none'}): ${body.slice(0, 80)}`
}

/** An answer without a length ends with its connection: nobody can tell the part before an orderly close from the whole. */
function endsWhereItWasClosed ({ id, serial, brokenBy }: Run, body: string): boolean {
  return brokenBy?.end === 'close' && !brokenBy.isFramed && answerBody(id, serial).startsWith(body)
}

/** What may run once at most has not run twice; nothing runs more often than its route allows. */
export const runsAtMost: Check = ({ journal }) => forAnswers(journal, 'once', (attempt) => {
  const runs = journal.runsOf(attempt.id).length
  const most = ONCE.has(attempt.kind) ? 1 : MAX_ATTEMPTS
  return runs > most ? `ran ${runs} times of ${most}` : undefined
})

/**
 * A refusal, or the word that a request has not run, holds for good. It is the gateway that promises: an engine that has run a request may
 * answer with any status, which says nothing of its run.
 */
export const refusalsTrue: Check = ({ journal }) => forAnswers(journal, 'not-run', (attempt) => {
  const saysNot = REFUSALS.includes(attempt.status ?? 0) || (attempt.status !== OK && /"ran":"no"/.test(attempt.body ?? ''))
  const [run] = journal.runsOf(attempt.id)
  if (!saysNot || run === undefined) return undefined
  return `answered ${attempt.status}, not run, yet ${run.engine} has run it${run.refusedWith === undefined ? '' : ` and answered ${run.refusedWith}`}`
})

/** Requests reach engines as they were sent, and nobody but gateways says what only gateways may say. */
export const unchanged: Check = ({ journal }) => {
  const sent = new Map(journal.attempts.map((attempt) => [attempt.id, attempt]))
  return journal.runs.flatMap((run) => {
    const why = wrongRun(run, sent.get(run.id))
    return why === undefined ? [] : [{ check: 'outside', at: run.at, subject: run.id, what: why }]
  })
}

function wrongRun (run: Run, attempt: Attempt | undefined): string | undefined {
  if (attempt === undefined) return 'nobody has sent it'
  if (!run.isAsSent || run.path !== attempt.path) return `path or body were changed: ${run.path}`
  if (run.smuggled.length > 0) return `set from outside: ${run.smuggled.join(', ')}`
  const organisation = attempt.key === KEY ? 'workshop' : 'guest'
  return run.organisation === organisation ? undefined : `for the organisation ${run.organisation}`
}

/** Control answers nothing to callers without the token. */
export const noIntrusion: Check = ({ journal }) => {
  const answered = journal.intrusions.filter(({ status }) => status !== UNAUTHORISED)
  return answered.map(({ at, path, status }) => ({ check: 'outside', at, subject: path, what: `${status} without the token of operators` }))
}

/** The more urgent the tier, the more urgent for the engine. */
export const urgencyByTier: Check = ({ journal }) => {
  const byTier = new Map<number, { least: number, most: number }>()
  const tiers = new Map(KINDS.map(({ name, tier }) => [name, tier]))
  const kinds = new Map(journal.attempts.map(({ id, kind }) => [id, kind]))
  for (const { id, urgency } of journal.runs) {
    const tier = tiers.get(kinds.get(id) ?? '')
    if (tier === undefined) continue
    const { least, most } = byTier.get(tier) ?? { least: Infinity, most: -Infinity }
    byTier.set(tier, { least: Math.min(least, urgency), most: Math.max(most, urgency) })
  }
  const tiersSeen = [...byTier].sort(([left], [right]) => left - right)
  return tiersSeen.flatMap(([tier, { most }], index) => {
    const next = tiersSeen[index + 1]
    if (next === undefined || most < next[1].least) return []
    return [{ check: 'tier', at: 0, subject: `tier ${tier}`, what: `urgency ${most}, while tier ${next[0]} has ${next[1].least}` }]
  })
}

function forAnswers (journal: Journal, check: string, whyWrong: (attempt: Attempt) => string | undefined): Violation[] {
  return journal.attempts.flatMap((attempt) => {
    if (attempt.endedAt === undefined) return []
    const what = whyWrong(attempt)
    return what === undefined ? [] : [{ check, at: attempt.sentAt, subject: attempt.id, what: `${attempt.kind} by ${attempt.gateway}: ${what}` }]
  })
}
