/** Checks of streams that callers take up: one build in each, and those that can go on do. */
import { buildsOfEvents, eventCount } from '../answers.ts'
import { CORE, type Attempt, type Journal, type Run } from '../journal.ts'
import { type Check } from './violation.ts'

const OK = 200
/** Fewer streams that are taken up tell nothing. */
const MIN_TAKE_UPS = 12
/** The least share of those that go on, of the share of new streams that begin. */
const LEAST_SHARE = 0.5
/** Engines of a build without which a stream of it need not go on. */
const MIN_ENGINES = 2

/** Why the events that a caller got are not those of its stream in their order, or look whole and aren't; undefined if all is well. */
export function wrongStream (attempt: Attempt, journal: Journal): string | undefined {
  const { id, subject, after, body = '', isWhole } = attempt
  const builds = buildsOfEvents(subject, after, body)
  if (builds === undefined) return `not the events of this stream in their order: ${JSON.stringify(body.slice(-120))}`
  const last = after + builds.length
  const total = eventCount(subject)
  if (isWhole !== true || last >= total || journal.runsOf(id).some((run) => endsBehindEvent(run, last))) return undefined
  return `looks whole after ${last} of ${total} events`
}

/** A stream without a length that was closed in order right behind an event can't be told from one that ended there. */
function endsBehindEvent ({ brokenBy }: Run, last: number): boolean {
  return brokenBy?.end === 'close' && !brokenBy.isFramed && brokenBy.behindEvent === last
}

/** The events that a caller has got of one stream, over all its requests, come from one build. */
export const oneBuild: Check = ({ journal }) => {
  const bySubject = new Map<string, { builds: Set<string>, latest: Attempt }>()
  for (const attempt of journal.attempts) {
    const builds = buildsOf(attempt)
    if (builds.length === 0) continue
    const known = bySubject.get(attempt.subject)?.builds ?? new Set<string>()
    bySubject.set(attempt.subject, { builds: new Set([...known, ...builds]), latest: attempt })
  }
  return [...bySubject].filter(([, { builds }]) => builds.size > 1).map(([subject, { builds, latest }]) => ({
    check: 'one-build',
    at: latest.sentAt,
    subject,
    what: `events of ${[...builds].join(' and ')}, the last by ${latest.gateway}${latest.after > 0 ? `, taken up behind event ${latest.after}` : ''}`
  }))
}

function buildsOf ({ kind, status, subject, after, body = '' }: Attempt): string[] {
  return kind === 'draft' && status === OK ? buildsOfEvents(subject, after, body) ?? [] : []
}

/**
 * Streams that callers take up by their name at gateways in touch other than the one that began them, while engines of their build
 * serve, go on at least half as often as new ones begin.
 */
export const takenUpGoOn: Check = ({ journal, isOver }) => {
  if (!isOver) return []
  const streams = journal.attempts.filter(({ kind, endedAt }) => kind === 'draft' && endedAt !== undefined)
  const first = new Map(streams.filter(({ after }) => after === 0).map((attempt) => [attempt.subject, attempt]))
  const takeUps = streams.filter((attempt) => attempt.after > 0 && attempt.naming === 'first' && mustGoOn(journal, attempt, first.get(attempt.subject)))
  const begins = streams.filter((attempt) => attempt.after === 0 && isCalm(journal, attempt))
  const share = shareServed(takeUps)
  const shareOfNew = shareServed(begins)
  if (takeUps.length < MIN_TAKE_UPS || share >= LEAST_SHARE * shareOfNew) return []
  return [{
    check: 'goes-on',
    at: takeUps[0]?.sentAt ?? 0,
    subject: 'streams taken up',
    what: `${Math.round(100 * share)} of 100 of ${takeUps.length} went on, ${Math.round(100 * shareOfNew)} of 100 new ones began`
  }]
}

function mustGoOn (journal: Journal, attempt: Attempt, first: Attempt | undefined): boolean {
  const [build] = first === undefined ? [] : buildsOf(first)
  if (first === undefined || build === undefined || attempt.gateway === first.gateway) return false
  if (!isCalm(journal, attempt) || !isCalm(journal, first)) return false
  const lives = journal.lives.filter((life) => (
    life.service === 'model' && life.build === build && life.from <= first.sentAt && life.to > (attempt.endedAt ?? Infinity) &&
    journal.isCalm([life.engine], first.sentAt, attempt.endedAt)
  ))
  return lives.length >= MIN_ENGINES
}

function isCalm (journal: Journal, { gateway, sentAt, endedAt }: Attempt): boolean {
  return journal.isCalm([gateway, CORE], sentAt, endedAt)
}

function shareServed (attempts: readonly Attempt[]): number {
  return attempts.filter(({ status }) => status === OK).length / Math.max(1, attempts.length)
}
