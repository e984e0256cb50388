/** The story of one request, from the log lines of any number of processes. */
import { type LogLine } from './read-lines.ts'

export { formatLosses, tellLosses, type Loss, type LossOptions, type LossTable, type RouteLosses } from './losses.ts'
export { readLines, type LogLine, type ReadLines } from './read-lines.ts'

/** What happened to an endpoint or a process so long before or after the request is a part of its story, in ms. */
const AROUND_MS = 15_000

const BELIEF_CHANNELS: ReadonlySet<string> = new Set(['link', 'configuration', 'evacuation', 'process'])

/** One line of a story. */
export interface StoryLine {
  time: string
  box: string
  /** Since the first line of the request; negative before it. In ms. */
  sinceMs: number
  /** Whether the line names the request itself; the others tell what was believed. */
  isOwn: boolean
  what: string
  why: string
}

/** Gives the lines of a request in order, with what its endpoints and its processes went through around it. */
export function tellStory (lines: readonly LogLine[], requestId: string): StoryLine[] {
  const own = lines.filter((line) => requestOf(line) === requestId)
  if (own.length === 0) return []
  const times = own.map(timeOf)
  const first = Math.min(...times)
  const last = Math.max(...times)
  const boxes = new Set(own.map(({ box }) => box))
  const endpoints = new Set(own.flatMap((line) => endpointOf(line) ?? []))
  const fingerprints = new Set(own.flatMap((line) => fingerprintOf(line) ?? []))
  const isNear = (line: LogLine) => timeOf(line) >= first - AROUND_MS && timeOf(line) <= last + AROUND_MS
  // An order holds until the next one, however long ago it came.
  const isInForce = (line: LogLine) => line.channel === 'evacuation' && line.event === 'applied' && timeOf(line) <= last
  // What was seen of the same request under other ids, at any box and however long ago, is why it is held.
  const isOfSame = (line: LogLine) => line.channel === 'quarantine' && fingerprints.has(line.fingerprint) && timeOf(line) <= last
  const around = lines.filter((line) => requestOf(line) === undefined && (
    isOfSame(line) || ((isNear(line) || isInForce(line)) && isBelief(line, boxes, endpoints))
  ))
  return [...own, ...around].sort((left, right) => timeOf(left) - timeOf(right)).map((line) => ({
    time: line.time,
    box: line.box,
    sinceMs: timeOf(line) - first,
    isOwn: requestOf(line) === requestId,
    what: whatOf(line),
    why: factsOf(line)
  }))
}

/** One line for a person to read. */
export function formatStoryLine ({ time, box, sinceMs, isOwn, what, why }: StoryLine): string {
  const since = `${sinceMs >= 0 ? '+' : ''}${sinceMs} ms`
  return `${time}  ${since.padStart(10)}  ${isOwn ? '*' : ' '} ${box.padEnd(20)} ${what.padEnd(20)} ${why}`
}

/** Whether a line tells what a process of the story believed: of its endpoints, its links, its document, evacuations, its own life. */
function isBelief (line: LogLine, boxes: ReadonlySet<string>, endpoints: ReadonlySet<string>): boolean {
  if (line.channel === 'endpoint') return boxes.has(line.box) && endpoints.has(line.endpoint)
  return boxes.has(line.box) && BELIEF_CHANNELS.has(line.channel)
}

function requestOf (line: LogLine): string | undefined {
  return 'requestId' in line ? line.requestId : undefined
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

function whatOf (line: LogLine): string {
  if ('decision' in line) return line.decision
  return `${line.channel} ${line.event}`
}

/** The reason, and what the decision knew with its age. */
function factsOf (line: LogLine): string {
  const why = 'why' in line ? line.why : ''
  if (line.channel === 'endpoint') return `${line.endpoint}: ${why}`
  if (line.channel === 'quarantine') return `${line.request === undefined ? '' : `as ${line.request}: `}${why}`
  if (line.channel === 'evacuation') return `${line.dataCentre}: ${why}`
  if (line.channel === 'link') return `${line.peer}: ${why}`
  if (line.channel !== 'forward') return why
  const { attempt, documentVersion, documentAgeMs, endpoint, leaseAgeMs, unreadTokens, copiedTokens, source, inFlight } = line
  const facts = [`attempt ${attempt}`, `document ${documentVersion} in force for ${documentAgeMs} ms`]
  if (endpoint !== undefined) facts.push(`endpoint ${endpoint}, heard ${leaseAgeMs ?? '?'} ms ago, ${inFlight ?? '?'} in flight`)
  if ((unreadTokens ?? 0) > 0) facts.push(`${unreadTokens} tokens to read`)
  if (source !== undefined) facts.push(`${copiedTokens ?? 0} tokens from ${source}`)
  return `${why} (${facts.join('; ')})`
}
