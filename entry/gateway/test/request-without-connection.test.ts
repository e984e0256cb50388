/** Guards against a promise for a request that was sent after its caller had been told that it never runs, or before. */
import { connect } from 'node:net'
import { afterAll, afterEach, beforeAll, beforeEach, expect, it, vi } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { suspensions } from '@gullwall/core.clock'
import { createDocument } from './gateway-deployment.ts'
import { HeldEndpoints, respond, type HeldRequest } from './held-endpoints.ts'

/** The connections that a gateway opens to the endpoint at most. */
const CONNECTIONS = 2
/** Shorter than the timeout for a connection, in ms. */
const WAIT_MS = 200
const SLEPT_MS = 60_000
/** More than the buffers of a connection take. */
const LARGE_BODY = Buffer.alloc(16 * 1024 * 1024, 'x')

/** Long enough to read that body on a busy machine, and shorter than the timeout of the route. */
const LARGE_BODY_WAIT_MS = 1200

const endpoints = new HeldEndpoints(['dc1'])
/** The requests that have been answered. */
let answered: Set<HeldRequest>

beforeAll(async () => {
  const limits = { limits: { maxBodyBytes: 2 * LARGE_BODY.length } }
  await endpoints.start((version) => ({ ...createDocument(version, {}, { maxConnections: CONNECTIONS }), ...limits }))
})
afterAll(async () => await endpoints.stop())
beforeEach(() => {
  endpoints.held.length = 0
  answered = new Set()
})
afterEach(() => { vi.restoreAllMocks() })

/** Has requests take all connections to the endpoint. */
async function takeAllConnections (): Promise<Array<ReturnType<HeldEndpoints['send']>>> {
  const replies = Array.from({ length: CONNECTIONS }, async () => await endpoints.send('/order/first'))
  await until('the connections to be taken', () => endpoints.held.length === CONNECTIONS)
  return replies
}

function answerAll (): void {
  for (const held of endpoints.held.filter((one) => !answered.has(one))) {
    answered.add(held)
    respond(held, 200)
  }
}

it.each(['/order/1', '/scan/1', '/look-up/1', '/draft/1'])('%s whose deadline passes while it waits for a connection is refused, and never sent', async (path) => {
  const first = await takeAllConnections()
  const waited = await endpoints.send(path, { headers: { 'x-gullwall-wait-ms': String(WAIT_MS) } })
  expect(waited.status).toBe(503)
  expect(Number(waited.retryAfter)).toBeGreaterThan(0)
  answerAll()
  expect((await Promise.all(first)).map(({ status }) => status)).toEqual([200, 200])
  const next = endpoints.send('/order/next')
  await until('the next request', () => endpoints.held.length === CONNECTIONS + 1)
  answerAll()
  expect((await next).status).toBe(200)
  expect(endpoints.arrivalsOf(waited.id)).toEqual([])
})

it('a request whose connection becomes free in time is served, and once', async () => {
  await takeAllConnections()
  const waiting = endpoints.send('/order/2')
  answerAll()
  await until('the request', () => endpoints.held.length === CONNECTIONS + 1)
  answerAll()
  const { id, status } = await waiting
  expect(status).toBe(200)
  expect(endpoints.arrivalsOf(id)).toHaveLength(1)
})

it.each(['/order/3', '/scan/3'])('%s whose deadline passes once it was written is not promised to have not run', async (path) => {
  const reply = await endpoints.send(path, { headers: { 'x-gullwall-wait-ms': String(WAIT_MS) } })
  expect(reply.status).toBe(504)
  expect(endpoints.arrivalsOf(reply.id)).toHaveLength(1)
})

it('a request whose deadline passes while its body is being written is not promised to have not run', async () => {
  const [endpoint] = endpoints.endpoints
  // Opens a connection first, so that the endpoint can stop reading it.
  const first = endpoints.send('/order/first')
  await until('a connection', () => endpoints.held.length === 1)
  answerAll()
  await first
  const connections = [...endpoint?.connections ?? []]
  for (const { socket } of connections) socket.pause()
  const reply = await endpoints.send('/order/4', { headers: { 'x-gullwall-wait-ms': String(LARGE_BODY_WAIT_MS) }, body: LARGE_BODY })
  expect(reply.status).toBe(504)
  for (const { socket } of connections) socket.resume()
  // All that was written may still arrive before the close.
  await until('the connection to be closed', () => connections.some(({ socket }) => socket.destroyed))
})

it('a request whose box is suspended while it waits for a connection is refused only if it never arrives', async () => {
  const slept = vi.spyOn(suspensions, 'suspendedMs').mockReturnValue(0)
  await takeAllConnections()
  const waiting = endpoints.send('/order/5')
  await until('the wait', () => endpoints.deployment.gateway.get('view').busy().size > 0 && inFlight() === CONNECTIONS + 1)
  slept.mockReturnValue(SLEPT_MS)
  answerAll()
  const { id, status } = await waiting
  const arrivals = endpoints.arrivalsOf(id).length
  expect([[503, 0], [504, 1]]).toContainEqual([status, arrivals])
})

it('a request whose caller leaves while it waits for a connection is never sent', async () => {
  const first = await takeAllConnections()
  const id = endpoints.newId()
  const caller = connect(Number(endpoints.deployment.gateway.get('ingress').address.split(':')[1]), '127.0.0.1')
  caller.write(`POST /order/6 HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer secret\r\nx-gullwall-request-id: ${id}\r\ncontent-length: 1\r\n\r\nx`)
  await until('the wait', () => inFlight() === CONNECTIONS + 1)
  caller.destroy()
  await until('the caller to be gone', () => inFlight() === CONNECTIONS)
  answerAll()
  await Promise.all(first)
  expect(endpoints.arrivalsOf(id)).toEqual([])
})

/** Requests that the gateway has assigned to the endpoint. */
function inFlight (): number {
  return [...endpoints.deployment.gateway.get('view').busy()].reduce((sum, endpoint) => sum + endpoint.inFlight, 0)
}
