import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { LimitedDeployment, LimitedEngine } from './limited-engines.ts'

const RUNS_MS = 30
const HEARD_MS = 300
const MOST_TRIES = 12
/** The others have room for all that comes, on a busy machine too. */
const engines = ['i-a', 'i-b', 'i-c', 'i-d'].map((name) => new LimitedEngine(name, RUNS_MS)) as [LimitedEngine]
const [named] = engines
const play = new LimitedDeployment(engines)

const limitAt = (gateway: number) => play.gateways[gateway]?.get('limits').limitPerSecond(named.incarnation)
const isHeardAs = (perSecond: number | undefined) => play.gateways.every((_gateway, index) => limitAt(index) === perSecond)

/** Has the endpoint name another limit, and sends until all have heard. */
async function nowNames (perSecond: number | undefined): Promise<void> {
  named.advertisedPerSecond = perSecond
  // What it got before a lower limit counts, so that its next answer may take a window.
  for (let tries = 0; !isHeardAs(perSecond) && tries < MOST_TRIES; tries += 1) {
    const replies = await play.sendFor(500, 30)
    expect(replies.filter(({ status }) => status !== 200)).toEqual([])
  }
  await until(`a limit of ${perSecond ?? 'none'} everywhere`, () => isHeardAs(perSecond))
}

beforeAll(async () => {
  await play.start(3)
  // The first leader may grant once nobody else can have.
  await sleep(1500)
}, 30_000)
afterAll(async () => await play.stop(), 30_000)

describe('a limit that an endpoint names', () => {
  it('is known at once to gateways that it has not answered, raised, lowered, and over with a later answer without it', async () => {
    for (const perSecond of [3, 8, 1, undefined]) await nowNames(perSecond)
    expect(play.deployment.control.get('leases').get(named.incarnation)?.limit?.perSecond).toBeUndefined()
    // It is taken up again by a growing share, and then like any other.
    await play.sendFor(2000, 30)
    const from = performance.now()
    await play.sendFor(2000, 30)
    expect(named.countSince(from)).toBeGreaterThan(7)
  }, 40_000)

  it('of 0 leaves one request now and then, which tells that it is over', async () => {
    await nowNames(0)
    await sleep(HEARD_MS)
    const from = performance.now()
    await play.sendFor(3000, 30)
    expect(named.countSince(from)).toBeLessThanOrEqual(1)
    named.advertisedPerSecond = undefined
    const replies = play.sendFor(12_000, 30)
    await until('the end of the limit', () => isHeardAs(undefined))
    expect((await replies).filter(({ status }) => status !== 200)).toEqual([])
  }, 60_000)

  it('is kept without control: nothing is sent there, and the others serve', async () => {
    await nowNames(5)
    const links = play.gateways.map((gateway) => gateway.get('controlLinks'))
    for (const link of links) vi.spyOn(link, 'requestGrants').mockRejectedValue(new Error('cut off'))
    await play.sendFor(500, 30)
    const from = performance.now()
    const replies = await play.sendFor(2000, 30)
    expect(named.countSince(from)).toBe(0)
    expect(replies.filter(({ status }) => status !== 200)).toEqual([])
    vi.restoreAllMocks()
    await play.sendFor(600, 30)
    const back = performance.now()
    await play.sendFor(2000, 30)
    expect(named.countSince(back)).toBeGreaterThan(5)
  }, 40_000)

  it('is not held to by control that grants without knowing of limits, so that nothing is sent under its grants', async () => {
    for (const gateway of play.gateways) {
      vi.spyOn(gateway.get('controlLinks'), 'requestGrants').mockImplementation(async (wishes) => (
        wishes.map(({ incarnation, requests }) => ({ incarnation, requests, withinMs: 500 }))
      ))
    }
    await play.sendFor(500, 30)
    const from = performance.now()
    await play.sendFor(1000, 30)
    expect(named.countSince(from)).toBe(0)
    vi.restoreAllMocks()
  }, 40_000)

  it('tells in the log why a request went elsewhere, and in the status what is limited', async () => {
    await nowNames(0.2)
    await play.sendFor(1000, 30)
    const lines = play.deployment.logLines.map((line) => JSON.parse(line) as Record<string, unknown>)
    expect(lines.some(({ why }) => String(why).endsWith('; kept from 1 limited without a grant'))).toBe(true)
    expect(lines.some(({ event, endpoint }) => event === 'limited' && endpoint === named.incarnation)).toBe(true)
    expect(play.gateways[1]?.get('limits').limitedEndpoints()).toEqual([{ endpoint: named.incarnation, perSecond: 0.2 }])
  }, 40_000)

  it('ends with the life that named it', async () => {
    const { leases } = play.deployment.control.services
    const [lease] = leases.toWire([leases.get(named.incarnation)].filter((held) => held !== undefined))
    if (lease !== undefined) await play.deployment.control.get('registrar').receiveHeartbeat({ ...lease, sequence: lease.sequence + 1, state: 'gone', ageMs: 0 })
    await until('it is forgotten', () => isHeardAs(undefined))
  })
})
