import { afterEach, describe, expect, it } from 'vitest'
import { LimitedDeployment, LimitedEngine, WINDOW_MS } from './limited-engines.ts'

const HEARD_MS = 1500
const RUNS_MS = 40
let deployment: LimitedDeployment | undefined

afterEach(async () => await deployment?.stop(), 30_000)

async function play (perSecond: number, demand: number, gateways: number, ms: number) {
  const engines = ['i-a', 'i-b', 'i-c'].map((name) => new LimitedEngine(name, RUNS_MS))
  deployment = new LimitedDeployment(engines)
  await deployment.start(gateways)
  await deployment.sendFor(500, demand)
  for (const engine of engines) engine.advertisedPerSecond = perSecond
  const named = performance.now()
  const replies = await deployment.sendFor(ms, demand)
  const from = named + HEARD_MS
  const later = replies.filter(({ at }) => at > from)
  const refusedEarly = replies.filter(({ at, status }) => at <= from && status !== 200).length
  console.log(`${gateways} gateways, ${perSecond} a second at each of 3, ${demand} asked for: refused ${refusedEarly} of ${replies.length - later.length} ` +
    `in the first ${HEARD_MS} ms, then ${later.filter(({ status }) => status !== 200).length} of ${later.length}; ` +
    `engines had ${engines.map((engine) => engine.countSince(from)).join(', ')}, at most ${engines.map((engine) => engine.maxPerWindow(from)).join(', ')} in ${WINDOW_MS} ms`)
  return { engines, later, from }
}

describe('a service all of whose endpoints have named limits', () => {
  it('is served whole where they take more than there is', async () => {
    const { engines, later, from } = await play(10, 15, 5, 8000)
    for (const engine of engines) expect(engine.maxPerWindow(from)).toBeLessThanOrEqual(40)
    expect(later.filter(({ status }) => status !== 200)).toEqual([])
  }, 40_000)

  it('is used in full where there is more than they take', async () => {
    const ms = 14_000
    const { engines, from } = await play(2, 30, 5, ms)
    for (const engine of engines) {
      expect(engine.maxPerWindow(from)).toBeLessThanOrEqual(8)
      expect(engine.countSince(from)).toBeGreaterThan(0.8 * 2 * (ms - HEARD_MS) / 1000)
    }
  }, 40_000)
})
