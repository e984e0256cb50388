/** Guards against a promise, or a second run, for a request that runs or waits while its gateway stops. */
import { connect } from 'node:net'
import { afterAll, beforeAll, expect, it } from 'vitest'
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

it('a request that runs is answered, and one that is read at the end of the stop is refused and never sent', async () => {
  const gateway = await startGateway()
  const ingress = gateway.get('ingress') as unknown as { address: string, isRefusingAll: boolean }
  const running = endpoints.send('/order/1', { gateway })
  await until('the request', () => endpoints.held.length === 1)
  const id = endpoints.newId()
  const late = connect(Number(ingress.address.split(':')[1]), '127.0.0.1')
  let received = ''
  late.on('data', (chunk: Buffer) => { received += chunk.toString() })
  late.write(`POST /order/late HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer secret\r\nx-gullwall-request-id: ${id}\r\ncontent-length: 1\r\n\r\n`)
  const stopped = gateway.stop()
  answerAll()
  expect(await running).toMatchObject({ status: 200, text: 'ran' })
  await until('the refusal of all requests', () => ingress.isRefusingAll)
  late.write('x')
  await until('the refusal', () => received.includes('ERR_GULLWALL_STOPPING'))
  expect(received).toMatch(/^HTTP\/1\.1 503 /)
  expect(received).toMatch(/retry-after: 0\.0*[1-9]/)
  await stopped
  late.destroy()
  expect(endpoints.arrivalsOf(id)).toEqual([])
}, STOP_TIMEOUT_MS)

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
