/** The HTTP headers between an entry and a sidecar that go with one attempt, and the sidecar's refusals. */
import { type IncomingHttpHeaders } from 'node:http'
import { Either, Left, Right } from 'purify-ts'
import { type Ran } from '@gullwall/core.types'

const PREFIX = 'x-gullwall-'

/** What a sidecar must know of an attempt. */
export interface AttemptHead {
  attemptId: string
  requestId: string
  /** The same for the same caller, method, path and body, whatever the ids; see routing/quarantine. */
  fingerprint: string
  /** The parts of its prompt that may crash endpoints, by name; none from entries that do not know of parts. */
  parts: string[]
  /** The caller's organisation; an empty text from entries that do not know of parts. */
  organisation: string
  /** The entry process, by its start id. */
  entry: string
  endpoint: string
  /** The start of the sidecar process that the entry means; another one must not run it. */
  sidecarStartId: string
  offerId: string | undefined
  class: string
  tier: number
  repeatable: boolean
  preemptible: boolean
  /** Whether the answer comes token by token, so that silence means something. */
  stream: boolean
  /** Targets of the class, in ms. */
  firstTokenMs: number
  betweenTokensMs: number
}

/** Why a sidecar did not run an attempt, or did not run it to its end. */
export type AttemptRefusal =
  | 'busy' | 'leaving' | 'revoked' | 'duplicate' | 'other-start' | 'unknown-endpoint' | 'bad-head' | 'endpoint-down' | 'turned-away' | 'endpoint-failed' | 'stalled' | 'preempted' | 'moved'

/** A sidecar's refusal as the entry reads it. */
export interface AttemptRefused {
  reason: AttemptRefusal
  ran: Ran
}

export const REFUSED_STATUS = 409
/** The path under which entries reach endpoints: `/attempt` and then the endpoint's own path. */
export const ATTEMPT_PREFIX = '/attempt'

/** Writes an attempt's head as headers. */
export function writeHead (head: AttemptHead): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(head)) {
    // Names of organisations may hold any character.
    if (value !== undefined) headers[PREFIX + name.toLowerCase()] = name === 'organisation' ? encodeURIComponent(String(value)) : String(value)
  }
  return headers
}

/** Reads an attempt's head; Left names the header that is missing. */
export function readHead (headers: IncomingHttpHeaders): Either<string, AttemptHead> {
  const text = (name: string) => headers[PREFIX + name.toLowerCase()] as string | undefined
  const required = ['attemptId', 'requestId', 'fingerprint', 'entry', 'endpoint', 'sidecarStartId', 'class', 'tier', 'firstTokenMs', 'betweenTokensMs']
  const missing = required.find((name) => text(name) === undefined)
  if (missing !== undefined) return Left(missing)
  return Right({
    attemptId: text('attemptId') ?? '',
    requestId: text('requestId') ?? '',
    fingerprint: text('fingerprint') ?? '',
    parts: (text('parts') ?? '').split(',').filter(Boolean),
    organisation: decodeName(text('organisation') ?? ''),
    entry: text('entry') ?? '',
    endpoint: text('endpoint') ?? '',
    sidecarStartId: text('sidecarStartId') ?? '',
    offerId: text('offerId'),
    class: text('class') ?? '',
    tier: Number(text('tier')),
    repeatable: text('repeatable') === 'true',
    preemptible: text('preemptible') === 'true',
    stream: text('stream') === 'true',
    firstTokenMs: Number(text('firstTokenMs')),
    betweenTokensMs: Number(text('betweenTokensMs'))
  })
}

function decodeName (encoded: string): string {
  return Either.encase(() => decodeURIComponent(encoded)).orDefault(encoded)
}

/** Gives the headers without those of the system itself. */
export function withoutOwnHeaders<Value> (headers: Record<string, Value>): Record<string, Value> {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !name.toLowerCase().startsWith(PREFIX)))
}

/** Writes a refusal as headers. */
export function writeRefusal (refused: AttemptRefused): Record<string, string> {
  return { [`${PREFIX}refused`]: refused.reason, [`${PREFIX}ran`]: refused.ran }
}

/** Reads a refusal, if an answer is one. */
export function readRefusal (headers: IncomingHttpHeaders): AttemptRefused | undefined {
  const reason = headers[`${PREFIX}refused`]
  if (typeof reason !== 'string') return undefined
  const ran = headers[`${PREFIX}ran`]
  return { reason: reason as AttemptRefusal, ran: ran === 'no' || ran === 'partly' ? ran : 'unknown' }
}
