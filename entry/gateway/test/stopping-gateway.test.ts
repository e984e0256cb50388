/** Guards against a promise, or a second run, for a request that runs or waits while its gateway stops. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import { Client } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { type Kernel } from '@gullwall/core.kernel'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { createDocument } from './gateway-deployment.ts'
import { HeldEndpoints, respond, type HeldReply } from './held-endpoints.ts'

const CONNECTIONS = 2
const STOP_TIMEOUT_MS = 30_000

const endpoints = new HeldEndpoints(['dc1'])
let boxes = 1

beforeAll(async () => await endpoints.start((version) => createDocument(version, {}, { maxConnections: CONNECTIONS })))
afterAll(async () => await endpoints.stop())

async function startGateway (): Promise<Kernel<GatewayServices>> {
  endpoints.held.length = 0
  return await endpoints.deployment.startGateway(`b${++boxes}`)
}

function answerAll (): void {
  for (const held of endpoints.held.splice(0)) respond(held, 200, { body: 'ran' })
}

it('a request that runs is answered, and one that arrives at the end of the stop is refused and never sent', async () => {
  const gateway = await startGateway()
  const client = new Client(`http://${gateway.get('ingress').address}`)
  const sendKept = async (path: string) => {
    const headers = { authorization: 'Bearer secret', 'x-gullwall-request-id': endpoints.newId() }
    const { statusCode, headers: { 'retry-after': retryAfter }, body } = await client.request({ method: 'POST', path, headers, body: 'x' })
    await body.dump()
    return { statusCode, retryAfter: Number(retryAfter) }
  }
  const kept = sendKept('/order/kept')
  await until('the first request', () => endpoints.held.length === 1)
  answerAll()
  await kept
  const running = endpoints.send('/order/1', { gateway })
  await until('the request', () => endpoints.held.length === 1)
  const ingress = gateway.get('ingress') as unknown as { isRefusingAll: boolean }
  const stopped = gateway.stop()
  answerAll()
  expect(await running).toMatchObject({ status: 200, text: 'ran' })
  const late: Array<{ statusCode: number, retryAfter: number }> = []
  // Keeps the connection from being idle, so that it is still open when all requests are refused.
  while (!ingress.isRefusingAll && client.closed === false) {
    const next = sendKept('/order/late').catch(() => undefined)
    await until('an arrival or a refusal', async () => endpoints.held.length > 0 || await isSettled(next))
    answerAll()
    const reply = await next
    if (reply === undefined) break
    late.push(reply)
  }
  for (const { statusCode, retryAfter } of late) expect(statusCode === 200 || (statusCode === 503 && retryAfter > 0)).toBe(true)
  await client.destroy()
  await stopped
}, STOP_TIMEOUT_MS)

async function isSettled (promise: Promise<unknown>): Promise<boolean> {
  const pending = {}
  return await Promise.race([promise, Promise.resolve(pending)]) !== pending
}

it('a request that still runs at the end of the grace period gets no promise, and does not run again', async () => {
  const gateway = await startGateway()
  const running = endpoints.send('/long/1', { gateway })
  await until('the request', () => endpoints.held.length === 1)
  await gateway.stop()
  const { id, status } = await running
  expect([0, 502, 504]).toContain(status)
  expect(endpoints.arrivalsOf(id)).toHaveLength(1)
}, STOP_TIMEOUT_MS)

it('a request that waits for a connection is answered after one run, or refused and never sent', async () => {
  const gateway = await startGateway()
  const first = Array.from({ length: CONNECTIONS }, async () => await endpoints.send('/long/2', { gateway }))
  await until('the connections to be taken', () => endpoints.held.length === CONNECTIONS)
  const taken = [...endpoints.held]
  const waiting = endpoints.send('/order/2', { gateway })
  await until('the wait', () => [...gateway.get('view').busy()].some(({ inFlight }) => inFlight === CONNECTIONS + 1))
  const stopped = gateway.stop()
  const reply: HeldReply = await waiting
  expect(reply.status).toBe(503)
  for (const held of taken) respond(held, 200, { body: 'id: 1\ndata: 1\n\n' })
  expect((await Promise.all(first)).map(({ status }) => status)).toEqual([200, 200])
  await stopped
  expect(endpoints.arrivalsOf(reply.id)).toEqual([])
}, STOP_TIMEOUT_MS)
