/** When callers take a stream up again, and behind which event. */
import { eventCount } from './answers.ts'
import { TIMEOUT_MS } from './documents.ts'
import { type Attempt, type Journal, type Naming } from './journal.ts'

const OK = 200
const REFUSED = 503
/** A caller comes back only while there is time for some events. */
const LEAST_MS = 500
const SECOND_MS = 1000
/** Of so many streams one is not named when it is taken up, and another one is named by its latest request. */
const NAMING_CYCLE = 8

export interface TakeUp {
  attempt: Pick<Attempt, 'subject' | 'after' | 'naming' | 'beganAt' | 'kind' | 'path' | 'key'>
  /** The request by which the caller names the stream; undefined if it names none. */
  resumes: string | undefined
  /** How long the caller waits before it comes back, in ms. */
  waitMs: number
}

/** Returns how a caller goes on after a request for a stream has ended; undefined if it does not. */
export function nextTakeUp (attempt: Attempt, { now }: Journal): TakeUp | undefined {
  const { id, subject, after, kind, path, key, sentAt, status, headers, body = '', isWhole, beganAt = sentAt } = attempt
  if (kind !== 'draft' || (isWhole === true && status === OK)) return undefined
  const last = after + (status === OK ? countEvents(body) : 0)
  const isRefused = status === REFUSED && after > 0
  const waitMs = isRefused ? Number(headers?.['retry-after'] ?? 0) * SECOND_MS : 0
  const hasEvents = last > 0 && last < eventCount(subject)
  const isInTime = now + waitMs - beganAt < TIMEOUT_MS - LEAST_MS
  // A caller that was refused for good, or has got nothing, has no stream to go on with.
  if (!hasEvents || !isInTime || (status !== OK && status !== undefined && !isRefused)) return undefined
  const naming = attempt.naming ?? namingOf(subject)
  const resumes = { first: subject, latest: id, none: undefined }[naming]
  return { attempt: { subject, after: last, naming, beganAt, kind, path, key }, resumes, waitMs }
}

/** Drawn from the number of the request, so that the series of random numbers stays the same. */
function namingOf (subject: string): Naming {
  const place = Number(/^q(\d+)/.exec(subject)?.[1]) % NAMING_CYCLE
  return place === 0 ? 'none' : place === 1 ? 'latest' : 'first'
}

/** Counts the complete events of a body. */
export function countEvents (body: string): number {
  return body.split('\n\n').length - 1
}
