import { afterEach, describe, expect, it } from 'vitest'
import { LimitedDeployment, LimitedEngine, WINDOW_MS } from './limited-engines.ts'

/** Time after the first advertised limit by which all gateways know all limits, in ms. */
const SETTLED_MS = 1500
const RUN_MS = 40
let deployment: LimitedDeployment | undefined

afterEach(async () => await deployment?.stop(), 30_000)

/** Sends `demand` requests a second to three engines that advertise `perSecond` each; returns the replies after the limits have settled. */
async function runScenario (perSecond: number, demand: number, gateways: number, ms: number) {
  const engines = ['i-a', 'i-b', 'i-c'].map((name) => new LimitedEngine(name, RUN_MS))
  deployment = new LimitedDeployment(engines)
  await deployment.start(gateways)
  await deployment.sendFor(500, demand)
  for (const engine of engines) engine.advertisedPerSecond = perSecond
  const advertisedAt = performance.now()
  const replies = await deployment.sendFor(ms, demand)
  const settledAt = advertisedAt + SETTLED_MS
  const settledReplies = replies.filter(({ at }) => at > settledAt)
  const refusedEarly = replies.filter(({ at, status }) => at <= settledAt && status !== 200).length
  console.log(`${gateways} gateways, limit ${perSecond}/s at each of 3 engines, ${demand} requests/s: ` +
    `refused ${refusedEarly} of ${replies.length - settledReplies.length} in the first ${SETTLED_MS} ms, ` +
    `then ${settledReplies.filter(({ status }) => status !== 200).length} of ${settledReplies.length}; ` +
    `engines received ${engines.map((engine) => engine.countSince(settledAt)).join(', ')}, ` +
    `at most ${engines.map((engine) => engine.maxPerWindow(settledAt)).join(', ')} in ${WINDOW_MS} ms`)
  return { engines, settledReplies, settledAt }
}

describe('a service whose endpoints all advertise limits', () => {
  it('serves every request if the limits exceed the demand', async () => {
    const { engines, settledReplies, settledAt } = await runScenario(10, 15, 5, 8000)
    for (const engine of engines) expect(engine.maxPerWindow(settledAt)).toBeLessThanOrEqual(40)
    expect(settledReplies.filter(({ status }) => status !== 200)).toEqual([])
  }, 40_000)

  it('uses the limits in full if the demand exceeds them', async () => {
    const ms = 14_000
    const { engines, settledAt } = await runScenario(2, 30, 5, ms)
    for (const engine of engines) {
      expect(engine.maxPerWindow(settledAt)).toBeLessThanOrEqual(8)
      expect(engine.countSince(settledAt)).toBeGreaterThan(0.8 * 2 * (ms - SETTLED_MS) / 1000)
    }
  }, 40_000)
})
