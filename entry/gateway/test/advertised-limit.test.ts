// Guards against gateways that ignore the rate limit an engine advertises in its responses. The limit covers all gateways together, so
// that a gateway that counts only its own requests can't enforce it.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const GATEWAYS = 5
const PER_SECOND = 1
const WINDOW_MS = 4000
/** Maximum number of requests in a window under the advertised limit. */
const MAX_PER_WINDOW = PER_SECOND * WINDOW_MS / 1000
/** Time after the first advertised limit by which requests of gateways that did not know the limit have arrived, in ms. */
const SETTLED_MS = 1500
const DURATION_MS = 12_000
const SPACING_MS = 66
const RUN_MS = 50

const engines = ['i-a', 'i-b', 'i-c'].map((incarnation) => new StubEndpoint(incarnation, 'app'))
const deployment = new GatewayDeployment(engines)
const others: Array<Kernel<GatewayServices>> = []
let ids = 0

const answerLater: Behaviour = (incoming, response, body) => {
  setTimeout(() => {
    if (!(incoming.url ?? '').startsWith('/draft/')) {
      answerOk(incoming, response, body)
      return
    }
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
    response.end('id: 1\ndata: 1\n\n')
  }, RUN_MS)
}

async function send (address: string, path: string): Promise<number> {
  const reply = await request(`http://${address}${path}`, {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': `request-${++ids}` }, body: 'a body'
  })
  const text = await reply.body.text()
  if (reply.statusCode !== 200) console.log(`${path} was answered ${reply.statusCode}: ${text}`)
  return reply.statusCode
}

/** Sends requests through all gateways at even intervals; returns their statuses. */
async function sendFor (ms: number): Promise<number[]> {
  const addresses = [deployment.gateway, ...others].map((gateway) => gateway.get('ingress').address)
  const replies: Array<Promise<number>> = []
  const endsAt = performance.now() + ms
  while (performance.now() < endsAt) {
    for (const [index, address] of addresses.entries()) replies.push(send(address, ['/look-up/1', '/draft/1', '/order/1'][(ids + index) % 3] as string))
    await sleep(SPACING_MS)
  }
  return await Promise.all(replies)
}

/** Returns the maximum number of arrivals in any window that starts at `from` or later. */
function maxPerWindow (arrivals: readonly number[], from: number): number {
  const counted = arrivals.filter((at) => at >= from)
  return Math.max(0, ...counted.map((start) => counted.filter((at) => at >= start && at < start + WINDOW_MS).length))
}

beforeAll(async () => {
  await deployment.start()
  for (const engine of engines) {
    engine.behaviour = answerLater
    await deployment.register(engine)
  }
  await deployment.configure(1)
  for (let index = 1; index < GATEWAYS; index += 1) others.push(await deployment.startGateway(`g${index}`))
}, 30_000)
afterAll(async () => {
  await Promise.all(others.map(async (gateway) => await gateway.stop()))
  await deployment.stop()
}, 30_000)

describe('an endpoint that advertises a limit of requests a second in its responses', () => {
  it('receives no more than the limit from all gateways together, and most of what the limit allows', async () => {
    const [limited] = engines as [StubEndpoint]
    await sendFor(500)
    const arrivals: number[] = []
    limited.behaviour = (incoming, response, body) => {
      arrivals.push(performance.now())
      response.setHeader('x-gullwall-limit', String(PER_SECOND))
      answerLater(incoming, response, body)
    }
    const statuses = await sendFor(DURATION_MS)
    limited.behaviour = answerLater
    const [advertisedAt = Infinity] = arrivals
    const counted = arrivals.filter((at) => at > advertisedAt + SETTLED_MS)
    expect(maxPerWindow(arrivals, advertisedAt + SETTLED_MS)).toBeLessThanOrEqual(MAX_PER_WINDOW)
    expect(counted.length).toBeGreaterThan(PER_SECOND * (DURATION_MS - SETTLED_MS) / 1000 * 2 / 3)
    // The other engines have capacity for all other requests.
    expect(statuses.filter((status) => status !== 200)).toEqual([])
  }, 30_000)
})
