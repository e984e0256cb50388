import { afterAll, beforeAll, beforeEach, expect, it } from 'vitest'
import { request } from 'undici'
import { answerNotRun, answerOk, GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const near = new StubEndpoint('i-near', 'app', answerOk, 'dc1')
const far = new StubEndpoint('i-far', 'app', answerOk, 'dc2')
const both = [near, far]
const deployment = new GatewayDeployment(both)
let ids = 0

async function send (body: string): Promise<{ id: string, status: number }> {
  const id = `request-${++ids}`
  const reply = await request(deployment.url('/look-up/1'), {
    method: 'POST', body, headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }
  })
  await reply.body.dump()
  return { id, status: reply.statusCode }
}

const notRun = answerNotRun

/** Reads one metric from the admin server; 0 if it is missing. */
async function readMetric (name: string): Promise<number> {
  const reply = await request(`http://${deployment.gateway.get('admin').address}/metrics`)
  const line = (await reply.body.text()).split('\n').find((text) => text.startsWith(name))
  return Number(line?.split(' ').at(-1) ?? 0)
}

beforeAll(async () => {
  await deployment.start()
  for (const stub of both) await deployment.register(stub)
  await deployment.configure(1)
  await deployment.awaitRegionLink()
})
afterAll(async () => await deployment.stop())
beforeEach(() => { for (const stub of both) stub.behaviour = answerOk })

it('requests stay in the region of their gateway while its endpoints accept them, and are sent to another region otherwise', async () => {
  for (let count = 0; count < 20; count += 1) await send('x')
  expect(far.requestIds).toEqual([])
  expect(await readMetric('gullwall_leaving_requests_total{region="south"}')).toBe(0)
  near.behaviour = notRun
  const { id, status } = await send('x'.repeat(5000))
  expect([status, far.requestIds]).toEqual([200, [id]])
  expect(await readMetric('gullwall_leaving_requests_total{region="south"}')).toBe(1)
  expect(await readMetric('gullwall_leaving_bytes_total{region="south"}')).toBeGreaterThan(5000)
  const line = deployment.logRecordsOf(id).find(({ decision, attempt, endpoint }) => decision === 'dispatch' && attempt === 1 && endpoint === 'i-far')
  expect(line?.['why']).toMatch(/^sent to region south: no endpoint of its own region accepts it; distance is \d+ of the cost$/)
})

it('the gateway sends no more than its share of the region link, and refuses requests that then have no endpoint', async () => {
  near.behaviour = notRun
  const { link } = deployment.gateway.get('crossRegionTraffic')
  link.recordBytes(1e9)
  const { id, status } = await send('x')
  expect(deployment.logRecordsOf(id).at(-1)?.['why']).toContain('the link to other regions has no capacity')
  expect([status, far.requestIds.includes(id)]).toEqual([503, false])
  link.recordBytes(-1e9)
  expect((await send('x')).status).toBe(200)
})
