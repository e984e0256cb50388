import { afterAll, afterEach, beforeAll, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const cold = new StubEndpoint('i-cold', 'app')
const warm = new StubEndpoint('i-warm', 'app')
const deployment = new GatewayDeployment([cold, warm])
const LONG_COLD_MS = 600_000

let ids = 0

async function call () {
  const id = `request-${++ids}`
  const reply = await request(deployment.url('/look-up/1'), { headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id } })
  return { id, status: reply.statusCode, headers: reply.headers, text: await reply.body.text() }
}

beforeAll(async () => {
  await deployment.start()
  await deployment.register(cold, 'ready', 1, LONG_COLD_MS)
  await deployment.configure(1, {}, { coldLimit: { perSecond: 10, startMs: 6000 } })
})
afterAll(async () => await deployment.stop())
afterEach(() => { vi.restoreAllMocks() })

describe('requests to a cold endpoint', () => {
  it('are refused without a grant, with the reason and a retry-after header', async () => {
    const reply = await call()
    expect(reply).toMatchObject({ status: 503, headers: { 'retry-after': expect.any(String) as string } })
    expect(reply.text).toContain('no eligible endpoint: cold, and no grant is available')
    expect(deployment.logRecordsOf(reply.id).at(-1)).toMatchObject({ decision: 'refuse', why: expect.stringContaining('excluded cold endpoints without a grant: 1') as string })
    expect(cold.requestIds).toEqual([])
  })

  it('are sent under a grant from control', async () => {
    await until('a grant', async () => (await call()).status === 200)
    expect(cold.requestIds).toHaveLength(1)
    expect(deployment.gateway.get('coldEndpoints').totals.sent).toBe(1)
  }, 15_000)

  it('are sent to other endpoints without a grant, and their log lines report this', async () => {
    await deployment.register(warm, 'ready', 1, 0)
    const replies = await Promise.all(Array.from({ length: 40 }, call))
    expect(replies.filter(({ status }) => status === 200)).toHaveLength(40)
    expect(cold.requestIds.length).toBeLessThanOrEqual(10)
    const redirected = replies.flatMap(({ id }) => deployment.logRecordsOf(id)).filter(({ why }) => String(why).endsWith('; excluded cold endpoints without a grant: 1'))
    expect(redirected.length).toBeGreaterThan(0)
  })

  it('are not sent to an endpoint that becomes cold while they wait for a connection', async () => {
    const { connections, view } = deployment.gateway.services
    const to = connections.dispatcherFor.bind(connections)
    let turned = ''
    vi.spyOn(connections, 'dispatcherFor').mockImplementation((description, ...rest) => {
      if (turned === '' && description.incarnation === warm.incarnation) {
        const [lease] = view.leases.toWire([view.leases.get(warm.incarnation)].filter((held) => held !== undefined))
        if (lease !== undefined) view.leases.merge([{ ...lease, sequence: lease.sequence + 1, coldMs: LONG_COLD_MS, ageMs: 0 }])
        turned = description.incarnation
      }
      return to(description, ...rest)
    })
    const before = warm.requestIds.length
    let last = ''
    await until('a request for which it was chosen', async () => {
      last = (await call()).id
      return turned !== ''
    })
    expect(warm.requestIds.length).toBe(before)
    expect(deployment.logRecordsOf(last).map(({ why }) => why)).toContainEqual(expect.stringContaining('not sent: it has turned cold'))
  })
})
