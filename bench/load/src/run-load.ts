/** Sends the arrivals of a scenario when they are due, whatever has become of those before. */
import { setMaxListeners } from 'node:events'
import { Pool } from 'undici'
import { drawArrivals, type Arrival } from './arrivals.ts'
import { call, type CallOutcome } from './caller.ts'
import { type Scenario } from './scenario.ts'

export interface LoadOptions {
  /** Told now and then how far the load has got. */
  onProgress?: (sent: number, total: number, done: readonly CallOutcome[]) => void
}

const PROGRESS_MS = 500
const MS_PER_SECOND = 1000
/** Arrivals due within this time are sent together, in ms. */
const TICK_MS = 2

export async function runLoad (scenario: Scenario, options: LoadOptions = {}): Promise<CallOutcome[]> {
  const arrivals = drawArrivals(scenario)
  const pools = scenario.entries.map((address) => new Pool(`http://${address}`, { headersTimeout: 0, bodyTimeout: 0 }))
  const giveUp = new AbortController()
  // Every call in flight listens to it.
  setMaxListeners(0, giveUp.signal)
  const outcomes: CallOutcome[] = []
  const calls: Array<Promise<unknown>> = []
  const progress = setInterval(() => options.onProgress?.(calls.length, arrivals.length, outcomes), PROGRESS_MS)
  const startedAt = performance.now()
  let next = 0
  while (next < arrivals.length) {
    const now = performance.now() - startedAt
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= now; arrival = arrivals[next]) {
      const pool = pools[next % pools.length]
      if (pool !== undefined) calls.push(call(pool, arrival, giveUp.signal).then((outcome) => outcomes.push(outcome)))
      next += 1
    }
    await new Promise((resolve) => setTimeout(resolve, waitFor(arrivals[next], now)))
  }
  const grace = setTimeout(() => giveUp.abort(), scenario.graceSeconds * MS_PER_SECOND)
  await Promise.all(calls)
  clearTimeout(grace)
  clearInterval(progress)
  await Promise.all(pools.map((pool) => pool.destroy()))
  return outcomes
}

function waitFor (next: Arrival | undefined, now: number): number {
  return next === undefined ? 0 : Math.max(TICK_MS, next.atMs - now)
}
