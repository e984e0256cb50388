/** Attainment, goodput, wasted work and latencies of a load. */
import { build, type Histogram } from 'hdr-histogram-js'
import { type Run } from '@gullwall/bench.fake-engine'
import { type CallOutcome } from './caller.ts'

export interface ClassReport {
  class: string
  offered: number
  answered: number
  refused: number
  failed: number
  wrong: number
  /** Share of all requests that were answered within both targets. */
  attainment: number
  firstTokenMs: Percentiles
  betweenTokensMs: Percentiles
}

export interface Percentiles {
  p50: number
  p95: number
  p99: number
}

export interface LoadReport {
  seconds: number
  classes: ClassReport[]
  /** Requests a second answered right, once and in time. */
  goodput: number
  /** Share of the engines' time spent on what no caller received. */
  wasted: number
  engineSeconds: number
  /** Why requests failed or were answered wrong, with counts. */
  failures: Record<string, number>
}

/** The share of gaps that may be over the target. */
const LATE_GAPS_ALLOWED = 0.05
const MS_PER_SECOND = 1000
const MAX_MS = 600_000

export function createReport (outcomes: readonly CallOutcome[], runs: readonly Run[], seconds: number): LoadReport {
  const names = [...new Set(outcomes.map((outcome) => outcome.arrival.load.class))].sort()
  const classes = names.map((name) => classReport(name, outcomes.filter((outcome) => outcome.arrival.load.class === name)))
  const { wastedMs, totalMs } = wastedWork(outcomes, runs)
  return {
    seconds,
    classes,
    goodput: outcomes.filter(isInTime).length / seconds,
    wasted: totalMs === 0 ? 0 : wastedMs / totalMs,
    engineSeconds: totalMs / MS_PER_SECOND,
    failures: countFailures(outcomes)
  }
}

/** Whether a request was answered right and within its targets. */
export function isInTime (outcome: CallOutcome): boolean {
  const { load } = outcome.arrival
  if (outcome.result !== 'right' || outcome.firstTokenMs === undefined || outcome.firstTokenMs > load.firstTokenMs) return false
  const late = outcome.gaps.filter((gap) => gap > load.betweenTokensMs).length
  return late <= Math.max(1, outcome.gaps.length * LATE_GAPS_ALLOWED)
}

/** Formats a report as a table. */
export function formatReport (report: LoadReport): string {
  const header = ['class', 'offered', 'answered', 'refused', 'failed', 'wrong', 'attainment', 'first token p50/p95/p99 ms', 'between tokens p50/p95/p99 ms']
  const rows = report.classes.map((row) => [
    row.class, String(row.offered), String(row.answered), String(row.refused), String(row.failed), String(row.wrong),
    percent(row.attainment), show(row.firstTokenMs), show(row.betweenTokensMs)
  ])
  const widths = header.map((title, column) => Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)))
  const line = (cells: string[]) => cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ')
  const summary = `goodput ${report.goodput.toFixed(1)} requests/s, wasted work ${percent(report.wasted)} of ${report.engineSeconds.toFixed(1)} s engine time, over ${report.seconds} s`
  const failures = Object.entries(report.failures).map(([why, count]) => `${count} x ${why}`)
  return [line(header), ...rows.map(line), summary, ...failures].join('\n')
}

function countFailures (outcomes: readonly CallOutcome[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { result, status, why } of outcomes) {
    if (result !== 'failed' && result !== 'wrong') continue
    const text = `${result}, status ${status}: ${why}`
    counts[text] = (counts[text] ?? 0) + 1
  }
  return counts
}

function classReport (name: string, outcomes: readonly CallOutcome[]): ClassReport {
  const count = (result: CallOutcome['result']) => outcomes.filter((outcome) => outcome.result === result).length
  const firstTokens = newHistogram()
  const gaps = newHistogram()
  for (const outcome of outcomes) {
    if (outcome.result !== 'right') continue
    firstTokens.recordValue(outcome.firstTokenMs ?? 0)
    for (const gap of outcome.gaps) gaps.recordValue(gap)
  }
  return {
    class: name,
    offered: outcomes.length,
    answered: count('right'),
    refused: count('refused'),
    failed: count('failed'),
    wrong: count('wrong'),
    attainment: outcomes.filter(isInTime).length / outcomes.length,
    firstTokenMs: percentiles(firstTokens),
    betweenTokensMs: percentiles(gaps)
  }
}

/**
 * A request that was answered right needed as many tokens as its answer has,
 * and one prefill; all else that was spent on it is wasted, and all that was
 * spent on a request that was not.
 */
function wastedWork (outcomes: readonly CallOutcome[], runs: readonly Run[]): { wastedMs: number, totalMs: number } {
  const right = new Map(outcomes.filter((outcome) => outcome.result === 'right').map((outcome) => [outcome.arrival.id, outcome.arrival.tokens]))
  const byId = new Map<string, Run[]>()
  for (const run of runs) byId.set(run.id, [...byId.get(run.id) ?? [], run])
  let wastedMs = 0
  let totalMs = 0
  for (const [id, ofRequest] of byId) {
    const spent = sum(ofRequest.map((run) => run.engineMs))
    totalMs += spent
    const needed = right.get(id)
    wastedMs += needed === undefined ? spent : surplus(ofRequest, needed)
  }
  return { wastedMs, totalMs }
}

function surplus (runs: readonly Run[], needed: number): number {
  const generated = sum(runs.map((run) => run.tokens))
  const decodeMs = sum(runs.map((run) => run.engineMs - run.prefillMs))
  const prefillMs = sum(runs.map((run) => run.prefillMs)) - (runs[0]?.prefillMs ?? 0)
  return decodeMs * Math.max(0, generated - needed) / Math.max(1, generated) + prefillMs
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_MS, numberOfSignificantValueDigits: 3, useWebAssembly: false })
}

function percentiles (histogram: Histogram): Percentiles {
  const at = (percentile: number) => histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile)
  return { p50: at(50), p95: at(95), p99: at(99) }
}

function show ({ p50, p95, p99 }: Percentiles): string {
  return `${p50}/${p95}/${p99}`
}

function percent (share: number): string {
  return `${(share * 100).toFixed(1)}%`
}
