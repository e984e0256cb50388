/** Guards against two endpoints that work on one request: the connection to a stalled one is closed before the next attempt (TWICE). */
import { afterAll, beforeAll, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { createDocument } from './gateway-deployment.ts'
import { HeldEndpoints, respond, type HeldRequest } from './held-endpoints.ts'

/** So long an endpoint may go on with a request after it has arrived at the next one, in ms. */
const MAX_OVERLAP_MS = 400
const TIMEOUT_MS = 20_000

const endpoints = new HeldEndpoints(['dc1', 'dc1'])

function withLongTimeouts (version: number): object {
  const document = createDocument(version) as { routes: object[] }
  return { ...document, routes: document.routes.map((route) => ({ ...route, timeoutMs: TIMEOUT_MS })) }
}

beforeAll(async () => await endpoints.start(withLongTimeouts))
afterAll(async () => await endpoints.stop())

/** Resolves with the time at which the endpoint sees that the connection of a request ends, by the monotonic clock. */
async function endOf ({ connection }: HeldRequest): Promise<number> {
  return await new Promise((resolve) => {
    for (const event of ['end', 'close']) connection.socket.once(event, () => resolve(performance.now()))
  })
}

it.each([['/look-up/1', ''], ['/draft/1', ''], ['/draft/2', 'id: 1\ndata: 1\n\n']])('%s that stalls behind %j is no longer worked on when it arrives elsewhere', async (path, begun) => {
  const reply = endpoints.send(path)
  const arrivals = () => endpoints.held.filter((held) => held.path === path)
  await until('the first endpoint', () => arrivals().length === 1)
  const [first] = arrivals()
  if (first === undefined) throw new Error('no arrival')
  const ended = endOf(first)
  if (begun !== '') first.connection.write(`HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${first.id}\r\ncontent-type: text/event-stream\r\n\r\n${begun}`)
  await until('the second endpoint', () => arrivals().length === 2)
  const second = arrivals()[1]
  if (second === undefined) throw new Error('no second arrival')
  const body = begun === '' ? 'id: 1\ndata: 1\n\n' : 'id: 2\ndata: 2\n\n'
  respond(second, 200, { body })
  expect(await reply).toMatchObject({ status: 200, text: begun + body, isComplete: true })
  expect(await ended - second.at).toBeLessThan(MAX_OVERLAP_MS)
  expect(second.endpoint).not.toBe(first.endpoint)
  expect(arrivals()).toHaveLength(2)
})
