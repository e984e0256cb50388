/** Guards the resumption of interrupted streams while all other engines back off. */
import { type ServerResponse } from 'node:http'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const BACKOFF_MS = 500
/** Delay of the response to a resumed stream, in ms; slow start admits the next stream only after that response. */
const RESPONSE_DELAY_MS = 150
const STREAMS = 3

const first = new StubEndpoint('i-first', 'app')
const second = new StubEndpoint('i-second', 'app')
const deployment = new GatewayDeployment([first, second])

const text = (from: number, to: number) => Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: x\n\n`).join('')

function beginStream (response: ServerResponse, id: unknown): void {
  response.writeHead(200, { 'x-gullwall-request-id': String(id), 'content-type': 'text/event-stream' })
}

async function send (id: string): Promise<{ status: number, text: string }> {
  const reply = await request(deployment.url('/draft/1'), {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body: 'a body'
  })
  return { status: reply.statusCode, text: await reply.body.text().catch(() => 'incomplete') }
}

beforeAll(async () => {
  await deployment.start()
  await deployment.register(first)
  await deployment.configure(1)
  await deployment.awaitRetryBudget()
})
afterAll(async () => await deployment.stop())

it('interrupted streams resume one after the other when the backoff of an engine ends', async () => {
  const begun: ServerResponse[] = []
  const beginOnly: Behaviour = (incoming, response) => {
    beginStream(response, incoming.headers['x-gullwall-request-id'])
    response.write(text(1, 2))
    begun.push(response)
  }
  first.behaviour = beginOnly
  second.behaviour = (incoming, response) => {
    setTimeout(() => {
      beginStream(response, incoming.headers['x-gullwall-request-id'])
      response.end(text(3, 4))
    }, RESPONSE_DELAY_MS)
  }
  const sending = Array.from({ length: STREAMS }, async (_, index) => await send(`request-${index}`))
  await until('all streams', () => begun.length === STREAMS)
  await deployment.register(second)
  deployment.gateway.get('notices').backoffs.recordBackoff(second.incarnation, BACKOFF_MS)
  for (const response of begun) response.destroy()
  expect(await Promise.all(sending)).toEqual(Array.from({ length: STREAMS }, () => ({ status: 200, text: text(1, 4) })))
})
