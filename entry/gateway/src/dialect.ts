/** The headers through which callers, this process and endpoints exchange information. An adapter can use other names. */
import { type Notices } from '@gullwall/endpoint.notices'
import { type OutputLengthHint, type PromptPart } from '@gullwall/routing.balancer'

/** Headers with lower-case names. */
export type Headers = Record<string, string | string[] | undefined>

/** What the headers of a caller's request state. */
export interface CallHead {
  requestId: string
  /** How long the caller waits for the answer, in ms; undefined if the headers do not state it. */
  waitMs: number | undefined
  /** The id of the last event that the caller has received, if it resumes a stream. */
  lastEventId: string | undefined
  /** The id of the request that brought the first event of the stream that the caller takes up. */
  resumes: string | undefined
  prompt: readonly PromptPart[]
  /** What the caller states about the length of the answer. */
  output?: OutputLengthHint | undefined
  /** The API key. */
  key: string | undefined
}

/** What the endpoint receives in addition to the caller's headers. */
export interface AttemptContext {
  /** The incarnation of the endpoint; any other incarnation refuses the request. */
  incarnation: string
  /** The time until the deadline of the request, in ms. */
  remainingMs: number
  /** The organisation of the key, if the route requires one. */
  organisation: string | undefined
  /** The order in which the endpoint processes its requests; 0 is first. */
  urgency: number
  lastEventId: string | undefined
  /** The address of another endpoint that has more of the prompt cached, from which the endpoint can copy it. */
  prefixSource: string | undefined
}

/** What the status and headers of an endpoint's response state. */
export interface AttemptResponseHead {
  requestId: string | undefined
  /** Whether the response comes from the service itself. */
  isFromService: boolean
  /** Whether the endpoint states that it has not run the request. */
  isNotRun: boolean
  /** What the endpoint states about itself. */
  notices: Notices
}

export interface CallDialect {
  readCall (headers: Headers): CallHead
  /** Returns the headers for the endpoint from the caller's. Both lists alternate names and values. */
  attemptHeaders (rawHeaders: readonly string[], facts: AttemptContext): string[]
  readResponse (status: number, headers: Headers): AttemptResponseHead
}

/** Headers that apply to a single connection. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'content-length', 'expect'
])

/** Which of the caller's headers are forwarded to an endpoint; names are in lower case. */
export interface HeaderRules {
  /** Never forwarded, in any spelling that a server may treat as the same name. */
  neverForwarded: ReadonlySet<string>
  /** Forwarded even if the caller's Connection header names them, so that a caller cannot remove them. */
  alwaysForwarded: ReadonlySet<string>
}

/** Returns the headers that are forwarded, in their original order. */
export function filterForwardedHeaders (rawHeaders: readonly string[], { neverForwarded, alwaysForwarded }: HeaderRules): string[] {
  const hopByHop = connectionOptions(rawHeaders)
  const forwarded: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? ''
    const canonical = canonicalName(name)
    if (HOP_BY_HOP.has(canonical) || neverForwarded.has(canonical)) continue
    if (hopByHop.has(name.toLowerCase()) && !alwaysForwarded.has(canonical)) continue
    forwarded.push(name, rawHeaders[index + 1] ?? '')
  }
  return forwarded
}

/** Replaces underscores, which some servers treat as hyphens in header names. */
function canonicalName (name: string): string {
  return name.trim().toLowerCase().replaceAll('_', '-')
}

/** Returns the names of the headers that the Connection headers list as hop-by-hop. */
function connectionOptions (rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>()
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue
    for (const option of (rawHeaders[index + 1] ?? '').split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}

/** Returns the first value of a header. */
export function firstHeaderValue (headers: Headers, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/**
 * Returns the value of a header that must be unambiguous. Several different values are returned together, which equals none of them, so
 * that a head with two ids belongs to no request. Ids have no commas.
 */
export function singleHeaderValue (headers: Headers, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? [...new Set(value)].join(', ') : value
}

/** Parses a positive number; undefined if it is missing or invalid. */
export function parsePositiveNumber (text: string | undefined): number | undefined {
  const value = Number(text)
  return Number.isFinite(value) && value > 0 ? value : undefined
}
