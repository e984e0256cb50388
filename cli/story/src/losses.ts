/** Summarizes from the log lines of any number of gateways which requests missed their targets, and why. */
import { type ForwardRecord } from '@gullwall/core.logger'
import { type LogLine } from './read-lines.ts'

/** The ends of the requests of one route, by reason. */
export interface RouteLosses {
  route: string
  requests: number
  inTime: number
  /** All other ends, the most frequent first. */
  losses: Loss[]
}

export interface Loss {
  reason: string
  requests: number
  /** The window with the most losses: its start, in ms since the first line, and their number. */
  worstWindow: { startMs: number, requests: number }
  /** The endpoint with the most losses; undefined if no line names one. */
  worstEndpoint: { endpoint: string, requests: number } | undefined
}

export interface LossTable {
  routes: RouteLosses[]
  /** Number of answers in time that are not counted, since sampling dropped their lines. */
  sampledOut: number
}

export interface LossOptions {
  windowMs: number
}

type EndLine = LogLine & ForwardRecord & { suppressedBefore?: number }

const ENDS = new Set<ForwardRecord['decision']>(['finish', 'refuse', 'fail', 'cancel'])
const IN_TIME = 'in time'

/** Returns the losses of each route, the route with the most requests first. */
export function summarizeLosses (lines: readonly LogLine[], { windowMs }: LossOptions): LossTable {
  const ends = lines.filter(isEnd)
  const startedAt = Math.min(...lines.map(({ time }) => Date.parse(time)))
  const byRoute = groupBy(ends, ({ route }) => route)
  const routes = [...byRoute].map(([route, own]) => routeLosses(route, own, startedAt, windowMs))
  return {
    routes: routes.sort((left, right) => right.requests - left.requests),
    sampledOut: ends.reduce((sum, { suppressedBefore }) => sum + (suppressedBefore ?? 0), 0)
  }
}

/** Formats the table for a terminal, with one row for each loss. */
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

/** Returns the reason without its numbers, so that reasons of the same kind are counted together. */
function reasonOf ({ decision, why, firstEventMs }: EndLine): string {
  const normalized = why.replace(/\d+(\.\d+)?/g, 'N')
  if (decision === 'finish') return why.startsWith('late') ? normalized : IN_TIME
  if (decision === 'cancel') return `the caller left ${firstEventMs === undefined ? 'before' : 'after'} its first event`
  return `${decision}: ${normalized}`
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
