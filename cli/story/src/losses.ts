/** Which requests missed what they were due, and why: a table from the log lines of any number of gateways. */
import { type ForwardRecord } from '@gullwall/core.logger'
import { type LogLine } from './read-lines.ts'

/** How requests of one route ended, by reason. */
export interface RouteLosses {
  route: string
  requests: number
  inTime: number
  /** Every other end, the most frequent first. */
  losses: Loss[]
}

export interface Loss {
  reason: string
  requests: number
  /** The window with most of them: its start since the first line, in ms, and how many it has. */
  worstWindow: { startMs: number, requests: number }
  /** The endpoint with most of them, if they name one. */
  worstEndpoint: { endpoint: string, requests: number } | undefined
}

export interface LossTable {
  routes: RouteLosses[]
  /** Answers in time whose lines were sampled out; they are not in the rows. */
  sampledOut: number
}

export interface LossOptions {
  windowMs: number
}

type EndLine = LogLine & ForwardRecord & { suppressedBefore?: number }

const ENDS = new Set<ForwardRecord['decision']>(['finish', 'refuse', 'fail', 'cancel'])
const IN_TIME = 'in time'

/** Gives the losses of each route, the route with most requests first. */
export function tellLosses (lines: readonly LogLine[], { windowMs }: LossOptions): LossTable {
  const ends = lines.filter(isEnd)
  const startedAt = Math.min(...lines.map(({ time }) => Date.parse(time)))
  const byRoute = groupBy(ends, ({ route }) => route)
  const routes = [...byRoute].map(([route, own]) => routeLosses(route, own, startedAt, windowMs))
  return {
    routes: routes.sort((left, right) => right.requests - left.requests),
    sampledOut: ends.reduce((sum, { suppressedBefore }) => sum + (suppressedBefore ?? 0), 0)
  }
}

/** One row a loss for a person to read. */
export function formatLosses ({ routes, sampledOut }: LossTable): string[] {
  const rows = routes.flatMap(({ route, requests, inTime, losses }) => [
    `${route || '(no route)'}: ${requests} requests, ${inTime} in time`,
    ...losses.map(({ reason, requests: lost, worstWindow, worstEndpoint }) => {
      const most = `most from ${(worstWindow.startMs / 1000).toFixed(1)} s on (${worstWindow.requests})`
      const where = worstEndpoint === undefined ? '' : `, at ${worstEndpoint.endpoint} (${worstEndpoint.requests})`
      return `${String(lost).padStart(7)}  ${reason}; ${most}${where}`
    })
  ])
  return sampledOut === 0 ? rows : [...rows, `${sampledOut} answers in time were sampled out and are not counted above`]
}

function isEnd (line: LogLine): line is EndLine {
  return line.channel === 'forward' && ENDS.has(line.decision)
}

function routeLosses (route: string, ends: readonly EndLine[], startedAt: number, windowMs: number): RouteLosses {
  const byReason = groupBy(ends, reasonOf)
  const inTime = byReason.get(IN_TIME)?.length ?? 0
  byReason.delete(IN_TIME)
  const losses = [...byReason].map(([reason, own]) => lossOf(reason, own, startedAt, windowMs))
  return { route, requests: ends.length, inTime, losses: losses.sort((left, right) => right.requests - left.requests) }
}

function lossOf (reason: string, ends: readonly EndLine[], startedAt: number, windowMs: number): Loss {
  const windows = groupBy(ends, ({ time }) => Math.floor((Date.parse(time) - startedAt) / windowMs) * windowMs)
  const endpoints = groupBy(ends.filter(({ endpoint }) => endpoint !== undefined), ({ endpoint }) => endpoint ?? '')
  const [startMs, inWindow] = largest(windows) ?? [0, 0]
  const [endpoint, atEndpoint] = largest(endpoints) ?? [undefined, 0]
  return {
    reason,
    requests: ends.length,
    worstWindow: { startMs, requests: inWindow },
    worstEndpoint: endpoint === undefined ? undefined : { endpoint, requests: atEndpoint }
  }
}

/** The reason with its figures left out, so that alike ones count together. */
function reasonOf ({ decision, why, firstEventMs }: EndLine): string {
  const alike = why.replace(/\d+(\.\d+)?/g, 'N')
  if (decision === 'finish') return why.startsWith('late') ? alike : IN_TIME
  if (decision === 'cancel') return `the caller left ${firstEventMs === undefined ? 'before' : 'after'} its first event`
  return `${decision}: ${alike}`
}

function groupBy<Key, Item> (items: readonly Item[], keyOf: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}

function largest<Key, Item> (groups: ReadonlyMap<Key, readonly Item[]>): [key: Key, size: number] | undefined {
  const sizes = [...groups].map(([key, items]): [Key, number] => [key, items.length])
  return sizes.sort(([, left], [, right]) => right - left)[0]
}
