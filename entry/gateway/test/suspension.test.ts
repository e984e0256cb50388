/** A gateway whose box was suspended during a request: the monotonic clock did not count that time. */
import { afterAll, afterEach, beforeAll, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { suspensions } from '@gullwall/core.clock'
import { GrantPool } from '../src/grant-pool.ts'
import { answerOk, GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const SLEPT_MS = 5000
/** The timeout of the route. */
const TIMEOUT_MS = 1500

const stubs = [new StubEndpoint('i-1', 'app'), new StubEndpoint('i-2', 'app')]
const deployment = new GatewayDeployment(stubs)

beforeAll(async () => {
  await deployment.start()
  for (const stub of stubs) await deployment.register(stub)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())
afterEach(() => {
  vi.restoreAllMocks()
  for (const stub of stubs) stub.behaviour = answerOk
})

async function send (id: string): Promise<number> {
  const reply = await request(deployment.url('/look-up/1'), { headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id } })
  await reply.body.dump()
  return reply.statusCode
}

describe('a request', () => {
  it('that arrives after a suspension has its full time', async () => {
    vi.spyOn(suspensions, 'suspendedMs').mockReturnValue(SLEPT_MS)
    expect(await send('after')).toBe(200)
    const remainingMs = stubs.flatMap(({ headers }) => headers).map((headers) => Number(headers['x-gullwall-wait-ms'])).at(-1) ?? 0
    expect(remainingMs).toBeGreaterThan(TIMEOUT_MS / 2)
  })

  it('that was in flight during a suspension is not sent again after its deadline', async () => {
    const slept = vi.spyOn(suspensions, 'suspendedMs').mockReturnValue(0)
    let runs = 0
    for (const stub of stubs) {
      stub.behaviour = (incoming) => {
        runs += 1
        slept.mockReturnValue(SLEPT_MS)
        incoming.socket.destroy()
      }
    }
    expect(await send('in flight')).toBe(504)
    expect(runs).toBe(1)
  })
})

describe('a grant', () => {
  it('that was received before a suspension has expired after it', () => {
    let slept = 0
    const pool = new GrantPool(() => slept)
    pool.add('i-1', { requests: 2, until: 500 }, 0)
    expect(pool.countAvailable('i-1', 100)).toBe(2)
    slept = SLEPT_MS
    expect([pool.countAvailable('i-1', 100), pool.tryTake('i-1', 100)]).toEqual([0, false])
    pool.add('i-1', { requests: 1, until: 600 }, 100)
    expect(pool.tryTake('i-1', 200)).toBe(true)
  })
})
