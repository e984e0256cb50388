/** The headers that carry meaning between callers, this process and endpoints. An adapter brings other names. */
import { type Notices } from '@gullwall/endpoint.notices'
import { type OutputLengthHint, type PromptPart } from '@gullwall/routing.balancer'

/** Headers with lower-case names. */
export type Headers = Record<string, string | string[] | undefined>

/** What a caller says of its request. */
export interface CallHead {
  requestId: string
  /** How long the caller waits from now on, in ms. */
  waitMs: number | undefined
  /** Where a stream is to go on. */
  lastEventId: string | undefined
  prompt: readonly PromptPart[]
  /** What the caller says of the length of its answer. */
  output?: OutputLengthHint | undefined
  key: string | undefined
}

/** What an endpoint is told besides what the caller sent. */
export interface AttemptContext {
  /** The start of the endpoint that is meant; any other refuses. */
  incarnation: string
  remainingMs: number
  /** The organisation of the key, if one was needed. */
  organisation: string | undefined
  /** In which order the endpoint takes what it has; 0 goes first. */
  urgency: number
  lastEventId: string | undefined
  /** The address of another endpoint that keeps more of the prompt, for the endpoint to copy it from. */
  prefixSource: string | undefined
}

/** What the head of an endpoint's answer says. */
export interface AnswerHead {
  requestId: string | undefined
  /** Whether it is truly an answer of the service. */
  isFromService: boolean
  /** Whether the endpoint says that it has not run the request. */
  isNotRun: boolean
  /** What the endpoint says of itself. */
  notices: Notices
}

export interface CallDialect {
  readCall (headers: Headers): CallHead
  /** Gives the headers for the endpoint, from the caller's as they came (name, value, name, value and so on). */
  attemptHeaders (rawHeaders: readonly string[], facts: AttemptContext): string[]
  readAnswer (status: number, headers: Headers): AnswerHead
}

/** Headers that concern one connection only. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'content-length', 'expect'
])

/** Which of a caller's headers an endpoint gets; names in lower case. */
export interface HeaderRules {
  /** Never passed on, in any spelling that some server takes for the same name. */
  neverForwarded: ReadonlySet<string>
  /** Passed on also where the caller's Connection header names them, so that a caller can't take them away. */
  alwaysForwarded: ReadonlySet<string>
}

/** The pairs that may be passed on, in their order. */
export function filterForwardedHeaders (rawHeaders: readonly string[], { neverForwarded, alwaysForwarded }: HeaderRules): string[] {
  const named = connectionOptions(rawHeaders)
  const passed: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? ''
    const canonical = canonicalName(name)
    if (HOP_BY_HOP.has(canonical) || neverForwarded.has(canonical)) continue
    if (named.has(name.toLowerCase()) && !alwaysForwarded.has(canonical)) continue
    passed.push(name, rawHeaders[index + 1] ?? '')
  }
  return passed
}

/** Some servers take an underscore in a header's name for a hyphen. */
function canonicalName (name: string): string {
  return name.trim().toLowerCase().replaceAll('_', '-')
}

/** The headers that a Connection header names. */
function connectionOptions (rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>()
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue
    for (const option of (rawHeaders[index + 1] ?? '').split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}

/** One value of a header. */
export function firstHeaderValue (headers: Headers, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** A number above 0; undefined if it is missing or none. */
export function parsePositiveNumber (text: string | undefined): number | undefined {
  const value = Number(text)
  return Number.isFinite(value) && value > 0 ? value : undefined
}
