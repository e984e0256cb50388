/** A gateway that was suspended while it had a request in hand: the steady clock did not count that time. */
import { afterAll, afterEach, beforeAll, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { suspensions } from '@gullwall/core.clock'
import { GrantPool } from '../src/grant-pool.ts'
import { answerOk, GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const SLEPT_MS = 5000
/** Of the route; the time that the caller gives is longer. */
const TIMEOUT_MS = 1500

const standIns = [new StubEndpoint('i-1', 'app'), new StubEndpoint('i-2', 'app')]
const deployment = new GatewayDeployment(standIns)

beforeAll(async () => {
  await deployment.start()
  for (const standIn of standIns) await deployment.register(standIn)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())
afterEach(() => {
  vi.restoreAllMocks()
  for (const standIn of standIns) standIn.behaviour = answerOk
})

async function send (id: string): Promise<number> {
  const reply = await request(deployment.url('/look-up/1'), { headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id } })
  await reply.body.dump()
  return reply.statusCode
}

describe('a request', () => {
  it('that arrives after a suspension has all of its time', async () => {
    vi.spyOn(suspensions, 'suspendedMs').mockReturnValue(SLEPT_MS)
    expect(await send('after')).toBe(200)
    const told = standIns.flatMap(({ headers }) => headers).map((headers) => Number(headers['x-gullwall-wait-ms'])).at(-1) ?? 0
    expect(told).toBeGreaterThan(TIMEOUT_MS / 2)
  })

  it('that was in hand during one is not sent on with time that it no longer has', async () => {
    const slept = vi.spyOn(suspensions, 'suspendedMs').mockReturnValue(0)
    let runs = 0
    for (const standIn of standIns) {
      standIn.behaviour = (incoming) => {
        runs += 1
        slept.mockReturnValue(SLEPT_MS)
        incoming.socket.destroy()
      }
    }
    expect(await send('in hand')).toBe(504)
    expect(runs).toBe(1)
  })
})

describe('a grant', () => {
  it('that was noted before a suspension has ended with it', () => {
    let slept = 0
    const purse = new GrantPool(() => slept)
    purse.add('i-1', { requests: 2, until: 500 }, 0)
    expect(purse.countAvailable('i-1', 100)).toBe(2)
    slept = SLEPT_MS
    expect([purse.countAvailable('i-1', 100), purse.tryTake('i-1', 100)]).toEqual([0, false])
    purse.add('i-1', { requests: 1, until: 600 }, 100)
    expect(purse.tryTake('i-1', 200)).toBe(true)
  })
})
