/** Guards against a promise for a stream that is taken up, if an endpoint may have run the request that takes it up. */
import { afterAll, beforeAll, beforeEach, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { createDocument } from './gateway-deployment.ts'
import { HeldEndpoints, NOT_RUN, respond, type HeldReply } from './held-endpoints.ts'

const FIRST = 'id: 1\ndata: 1\n\n'

const endpoints = new HeldEndpoints(['dc1', 'dc1', 'dc1'])

beforeAll(async () => await endpoints.start(createDocument))
afterAll(async () => await endpoints.stop())
beforeEach(() => { endpoints.held.length = 0 })

/** Begins a stream that breaks off behind its first event, and returns its id. */
async function beginStream (): Promise<string> {
  const id = endpoints.newId()
  const reply = endpoints.send('/draft/1', { headers: { 'x-gullwall-request-id': id } })
  for (let attempt = 1; attempt <= 2; attempt += 1) {
    await until('an endpoint', () => endpoints.held.length === attempt)
    const held = endpoints.held.at(-1)
    const head = `HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`
    const event = attempt === 1 ? `${FIRST.length.toString(16)}\r\n${FIRST}\r\n` : ''
    held?.connection.write(head + event)
    held?.connection.close()
  }
  expect(await reply).toMatchObject({ status: 200, text: FIRST, isComplete: false })
  endpoints.held.length = 0
  return id
}

/** Takes up a stream; each endpoint that gets the request responds in the same way. */
async function takeUp (id: string, status: number, more: string): Promise<HeldReply> {
  let isOver = false
  const reply = endpoints.send('/draft/1', { headers: { 'x-gullwall-resumes': id, 'last-event-id': '1' } })
    .finally(() => { isOver = true })
  for (let answered = 0; ; answered += 1) {
    await until('an endpoint or the end', () => isOver || endpoints.held.length > answered)
    const held = endpoints.held[answered]
    if (held === undefined) return await reply
    respond(held, status, { more })
  }
}

it.each([408, 429, 503])('a taken-up stream that every endpoint rejects with %i and proof is refused as not run', async (status) => {
  const reply = await takeUp(await beginStream(), status, NOT_RUN)
  expect(reply.status).toBe(503)
  expect(Number(reply.retryAfter)).toBeGreaterThan(0)
})

it.each([408, 421, 429, 503])('a taken-up stream that is answered %i without proof is not promised to have not run', async (status) => {
  const reply = await takeUp(await beginStream(), status, '')
  expect(endpoints.arrivalsOf(reply.id)).toHaveLength(2)
  expect(reply.status).toBe(502)
  expect(reply.retryAfter).toBeUndefined()
})

it('a taken-up stream whose build is not known is refused, and never sent', async () => {
  const reply = await takeUp('a-stream-that-nobody-began', 200, '')
  expect(reply.status).toBe(503)
  expect(endpoints.arrivalsOf(reply.id)).toEqual([])
})

it('a stream that breaks off and that the next endpoint rejects with proof gets no promise behind its events', async () => {
  const reply = endpoints.send('/draft/2')
  await until('the first endpoint', () => endpoints.held.length === 1)
  const [first] = endpoints.held
  first?.connection.write(`HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${first.id}\r\ntransfer-encoding: chunked\r\n\r\n`)
  first?.connection.close()
  for (let answered = 1; answered < endpoints.endpoints.length; answered += 1) {
    await until('the next endpoint', () => endpoints.held.length > answered)
    const held = endpoints.held[answered]
    if (held !== undefined) respond(held, 503, { more: NOT_RUN })
  }
  expect(await reply).toMatchObject({ status: 502, retryAfter: undefined })
})
