import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { LimitedDeployment, LimitedEngine } from './limited-engines.ts'

const RUN_MS = 30
const SETTLE_MS = 300
const MAX_TRIES = 12
/** Four engines, so that the three without a limit have capacity for all requests even on a busy machine. */
const engines = ['i-a', 'i-b', 'i-c', 'i-d'].map((name) => new LimitedEngine(name, RUN_MS)) as [LimitedEngine]
const [limited] = engines
const scenario = new LimitedDeployment(engines)

const limitAt = (gateway: number) => scenario.gateways[gateway]?.get('limits').limitPerSecond(limited.incarnation)
const isKnownEverywhere = (perSecond: number | undefined) => scenario.gateways.every((_gateway, index) => limitAt(index) === perSecond)

/** Changes the limit that the engine advertises, and sends requests until all gateways know the new limit. */
async function advertise (perSecond: number | undefined): Promise<void> {
  limited.advertisedPerSecond = perSecond
  // Earlier requests count towards a lower limit, so that the next response may take as long as a window.
  for (let tries = 0; !isKnownEverywhere(perSecond) && tries < MAX_TRIES; tries += 1) {
    const replies = await scenario.sendFor(500, 30)
    expect(replies.filter(({ status }) => status !== 200)).toEqual([])
  }
  await until(`a limit of ${perSecond ?? 'none'} everywhere`, () => isKnownEverywhere(perSecond))
}

beforeAll(async () => {
  await scenario.start(3)
  // The first leader grants nothing until the grants of any earlier leader have expired.
  await sleep(1500)
}, 30_000)
afterAll(async () => await scenario.stop(), 30_000)

describe('a limit that an endpoint advertises', () => {
  it('reaches gateways without a response from the endpoint, can be raised and lowered, and ends with a response without a limit', async () => {
    for (const perSecond of [3, 8, 1, undefined]) await advertise(perSecond)
    expect(scenario.deployment.control.get('leases').get(limited.incarnation)?.limit?.perSecond).toBeUndefined()
    // The endpoint first receives a growing share of the requests, and then as many as any other.
    await scenario.sendFor(2000, 30)
    const from = performance.now()
    await scenario.sendFor(2000, 30)
    expect(limited.countSince(from)).toBeGreaterThan(7)
  }, 40_000)

  it('of 0 permits an occasional request, whose response shows when the limit ends', async () => {
    await advertise(0)
    await sleep(SETTLE_MS)
    const from = performance.now()
    await scenario.sendFor(3000, 30)
    expect(limited.countSince(from)).toBeLessThanOrEqual(1)
    limited.advertisedPerSecond = undefined
    const replies = scenario.sendFor(12_000, 30)
    await until('the end of the limit', () => isKnownEverywhere(undefined))
    expect((await replies).filter(({ status }) => status !== 200)).toEqual([])
  }, 60_000)

  it('is enforced without control: the endpoint receives nothing, and the others serve all requests', async () => {
    await advertise(5)
    const links = scenario.gateways.map((gateway) => gateway.get('controlLinks'))
    for (const link of links) vi.spyOn(link, 'requestGrants').mockRejectedValue(new Error('disconnected'))
    await scenario.sendFor(500, 30)
    const from = performance.now()
    const replies = await scenario.sendFor(2000, 30)
    expect(limited.countSince(from)).toBe(0)
    expect(replies.filter(({ status }) => status !== 200)).toEqual([])
    vi.restoreAllMocks()
    await scenario.sendFor(600, 30)
    const reconnectedAt = performance.now()
    await scenario.sendFor(2000, 30)
    expect(limited.countSince(reconnectedAt)).toBeGreaterThan(5)
  }, 40_000)

  it('is enforced if control does not support limits: no request is sent under grants without a limit', async () => {
    for (const gateway of scenario.gateways) {
      vi.spyOn(gateway.get('controlLinks'), 'requestGrants').mockImplementation(async (grantRequests) => (
        grantRequests.map(({ incarnation, requests }) => ({ incarnation, requests, withinMs: 500 }))
      ))
    }
    await scenario.sendFor(500, 30)
    const from = performance.now()
    await scenario.sendFor(1000, 30)
    expect(limited.countSince(from)).toBe(0)
    vi.restoreAllMocks()
  }, 40_000)

  it('appears as a reason in the log, and as a limit in the status', async () => {
    await advertise(0.2)
    await scenario.sendFor(1000, 30)
    const lines = scenario.deployment.logLines.map((line) => JSON.parse(line) as Record<string, unknown>)
    expect(lines.some(({ why }) => String(why).endsWith('; excluded limited endpoints without a grant: 1'))).toBe(true)
    expect(lines.some(({ event, endpoint }) => event === 'limited' && endpoint === limited.incarnation)).toBe(true)
    expect(scenario.gateways[1]?.get('limits').limitedEndpoints()).toEqual([{ endpoint: limited.incarnation, perSecond: 0.2 }])
  }, 40_000)

  it('ends with the incarnation that advertised the limit', async () => {
    const { leases } = scenario.deployment.control.services
    const [lease] = leases.toWire([leases.get(limited.incarnation)].filter((known) => known !== undefined))
    if (lease !== undefined) await scenario.deployment.control.get('registrar').receiveHeartbeat({ ...lease, sequence: lease.sequence + 1, state: 'gone', ageMs: 0 })
    await until('the end of the limit', () => isKnownEverywhere(undefined))
  })
})
