/** The story of one request, from the log lines of any number of processes. */
import { type LogLine } from './read-lines.ts'

export { formatLosses, summarizeLosses, type Loss, type LossOptions, type LossTable, type RouteLosses } from './losses.ts'
export { readLines, type LogLine, type ReadLines } from './read-lines.ts'

/** Events of endpoints and processes are included if they happened within this time before or after the request, in ms. */
const CONTEXT_MARGIN_MS = 15_000

const CONTEXT_CHANNELS: ReadonlySet<string> = new Set(['link', 'configuration', 'evacuation', 'process'])

/** One line of a story. */
export interface StoryLine {
  time: string
  box: string
  /** Time since the first line of the request, in ms; negative before it. */
  sinceMs: number
  /** Whether the line belongs to the request; other lines show the state that the decisions were based on. */
  isOwn: boolean
  what: string
  why: string
}

/**
 * Returns the lines of a request, and of the others for the same stream, in order, together with the events of its endpoints and
 * processes around it.
 */
export function buildStory (lines: readonly LogLine[], requestId: string): StoryLine[] {
  // The requests of one stream are told together: the one that began it, and those that took it up.
  const resumed = lines.filter((line) => requestOf(line) === requestId).flatMap((line) => resumesOf(line) ?? [])
  const names = new Set([requestId, ...resumed])
  const isOwn = (line: LogLine) => names.has(requestOf(line) ?? '') || names.has(resumesOf(line) ?? '')
  const own = lines.filter(isOwn)
  if (own.length === 0) return []
  const times = own.map(timeOf)
  const first = Math.min(...times)
  const last = Math.max(...times)
  const boxes = new Set(own.map(({ box }) => box))
  const endpoints = new Set(own.flatMap((line) => endpointOf(line) ?? []))
  const fingerprints = new Set(own.flatMap((line) => fingerprintOf(line) ?? []))
  const parts = new Set(own.flatMap((line) => line.channel === 'forward' ? line.part ?? [] : []))
  const isNear = (line: LogLine) => timeOf(line) >= first - CONTEXT_MARGIN_MS && timeOf(line) <= last + CONTEXT_MARGIN_MS
  // An evacuation remains in force until the next order, however old it is.
  const isInForce = (line: LogLine) => line.channel === 'evacuation' && line.event === 'applied' && timeOf(line) <= last
  // A quarantine is caused by the same request under other ids, or by others with the same part, at any box and at any earlier time.
  const isSameRequest = (line: LogLine) => line.channel === 'quarantine' && timeOf(line) <= last &&
    (fingerprints.has(line.fingerprint) || parts.has(line.part ?? ''))
  const context = lines.filter((line) => requestOf(line) === undefined && (
    isSameRequest(line) || ((isNear(line) || isInForce(line)) && isContext(line, boxes, endpoints))
  ))
  return [...own, ...context].sort((left, right) => timeOf(left) - timeOf(right)).map((line) => ({
    time: line.time,
    box: line.box,
    sinceMs: timeOf(line) - first,
    isOwn: isOwn(line),
    what: labelOf(line),
    why: requestOf(line) === requestId || !isOwn(line) ? detailsOf(line) : `as ${requestOf(line)}: ${detailsOf(line)}`
  }))
}

/** Formats a line for a terminal. */
export function formatStoryLine ({ time, box, sinceMs, isOwn, what, why }: StoryLine): string {
  const since = `${sinceMs >= 0 ? '+' : ''}${sinceMs} ms`
  return `${time}  ${since.padStart(10)}  ${isOwn ? '*' : ' '} ${box.padEnd(20)} ${what.padEnd(20)} ${why}`
}

/** Whether a line shows the state of a process of the story: its endpoints, links, document and evacuations, or its start and stop. */
function isContext (line: LogLine, boxes: ReadonlySet<string>, endpoints: ReadonlySet<string>): boolean {
  if (line.channel === 'endpoint') return boxes.has(line.box) && endpoints.has(line.endpoint)
  return boxes.has(line.box) && CONTEXT_CHANNELS.has(line.channel)
}

function requestOf (line: LogLine): string | undefined {
  return 'requestId' in line ? line.requestId : undefined
}

function resumesOf (line: LogLine): string | undefined {
  return line.channel === 'forward' ? line.resumes : undefined
}

function endpointOf (line: LogLine): string | undefined {
  return 'endpoint' in line ? line.endpoint : undefined
}

function fingerprintOf (line: LogLine): string | undefined {
  return line.channel === 'forward' ? line.fingerprint : undefined
}

function timeOf (line: LogLine): number {
  return Date.parse(line.time)
}

function labelOf (line: LogLine): string {
  if ('decision' in line) return line.decision
  return `${line.channel} ${line.event}`
}

/** Returns the reason of a line, and for a decision the facts that it was based on, with their ages. */
function detailsOf (line: LogLine): string {
  const why = 'why' in line ? line.why : ''
  if (line.channel === 'endpoint') return `${line.endpoint}: ${why}`
  if (line.channel === 'quarantine') {
    const subject = line.request === undefined ? '' : `as ${line.request}: `
    return `${subject}${line.part === undefined ? '' : `part ${line.part}: `}${why}`
  }
  if (line.channel === 'evacuation') return `${line.dataCentre}: ${why}`
  if (line.channel === 'link') return `${line.peer}: ${why}`
  if (line.channel !== 'forward') return why
  const { attempt, documentVersion, documentAgeMs, endpoint, build, leaseAgeMs, unreadTokens, copiedTokens, source, inFlight } = line
  const facts = [`attempt ${attempt}`, `document ${documentVersion} in force for ${documentAgeMs} ms`]
  if (endpoint !== undefined) facts.push(`endpoint ${endpoint}, heard ${leaseAgeMs ?? '?'} ms ago, ${inFlight ?? '?'} in flight`)
  if (build !== undefined) facts.push(`build ${build}`)
  if ((unreadTokens ?? 0) > 0) facts.push(`${unreadTokens} tokens to read`)
  if (source !== undefined) facts.push(`${copiedTokens ?? 0} tokens from ${source}`)
  return `${why} (${facts.join('; ')})`
}
