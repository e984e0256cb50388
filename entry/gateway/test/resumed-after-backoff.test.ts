/** Streams that have begun to be answered, and whose engines all rest when they break off. */
import { type ServerResponse } from 'node:http'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const REST_MS = 500
/** A stream that goes on is answered after so long, in ms; slow start lets the others come then. */
const ANSWERS_AFTER_MS = 150
const STREAMS = 3

const first = new StubEndpoint('i-first', 'app')
const second = new StubEndpoint('i-second', 'app')
const deployment = new GatewayDeployment([first, second])

const text = (from: number, to: number) => Array.from({ length: to - from + 1 }, (_, place) => `id: ${from + place}\ndata: x\n\n`).join('')

function begin (response: ServerResponse, id: unknown): void {
  response.writeHead(200, { 'x-gullwall-request-id': String(id), 'content-type': 'text/event-stream' })
}

async function send (id: string): Promise<{ status: number, text: string }> {
  const reply = await request(deployment.url('/draft/1'), {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body: 'a sheet'
  })
  return { status: reply.statusCode, text: await reply.body.text().catch(() => 'broken off') }
}

beforeAll(async () => {
  await deployment.start()
  await deployment.register(first)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

it('go on one after the other once the first of them comes back', async () => {
  const begun: ServerResponse[] = []
  const starts: Behaviour = (incoming, response) => {
    begin(response, incoming.headers['x-gullwall-request-id'])
    response.write(text(1, 2))
    begun.push(response)
  }
  first.behaviour = starts
  second.behaviour = (incoming, response) => {
    setTimeout(() => {
      begin(response, incoming.headers['x-gullwall-request-id'])
      response.end(text(3, 4))
    }, ANSWERS_AFTER_MS)
  }
  const sending = Array.from({ length: STREAMS }, async (_, index) => await send(`request-${index}`))
  await until('all have begun', () => begun.length === STREAMS)
  await deployment.register(second)
  deployment.gateway.get('notices').backoffs.recordBackoff(second.incarnation, REST_MS)
  for (const response of begun) response.destroy()
  expect(await Promise.all(sending)).toEqual(Array.from({ length: STREAMS }, () => ({ status: 200, text: text(1, 4) })))
})
