// Two engines of six named in their answers that they take 1 request a second from all boxes together. Nothing read that: five
// gateways went on as before, and the two got 2.5 and 2.0 requests a second where they had got 2.4 and 2.3, up to 13 and 12
// within 4 s. Callers saw nothing of it, the engines had more than they have room for. No gateway could have kept to it alone
// either: the 13 came from four gateways or more, and each knew of its own sends only. In the lines of all five the dispatches to
// the two go on as before 8 s, when they named it, and no line speaks of a limit:
//   "decision":"dispatch" ... "attempt":1 ... "endpoint":"i-702969f42e" ... "why":"least cost"
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const GATEWAYS = 5
const PER_SECOND = 1
const WINDOW_MS = 4000
/** The named rate over any such time. */
const MOST = PER_SECOND * WINDOW_MS / 1000
/** What was sent before all had heard of the limit has arrived by then, in ms after it was named first. */
const HEARD_MS = 1500
const PLAY_MS = 12_000
const SPACING_MS = 66
const RUNS_MS = 50

const engines = ['i-a', 'i-b', 'i-c'].map((incarnation) => new StubEndpoint(incarnation, 'app'))
const deployment = new GatewayDeployment(engines)
const others: Array<Kernel<GatewayServices>> = []
let ids = 0

const answers: Behaviour = (incoming, response, body) => {
  setTimeout(() => {
    if (!(incoming.url ?? '').startsWith('/draft/')) {
      answerOk(incoming, response, body)
      return
    }
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
    response.end('id: 1\ndata: 1\n\n')
  }, RUNS_MS)
}

async function send (address: string, path: string): Promise<number> {
  const reply = await request(`http://${address}${path}`, {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': `request-${++ids}` }, body: 'a sheet'
  })
  await reply.body.text()
  return reply.statusCode
}

/** Sends requests through all gateways at even intervals; gives their statuses. */
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

/** The most arrivals within any window that begins at `from` or later. */
function busiest (arrivals: readonly number[], from: number): number {
  const counted = arrivals.filter((at) => at >= from)
  return Math.max(0, ...counted.map((start) => counted.filter((at) => at >= start && at < start + WINDOW_MS).length))
}

beforeAll(async () => {
  await deployment.start()
  for (const engine of engines) {
    engine.behaviour = answers
    await deployment.register(engine)
  }
  await deployment.configure(1)
  for (let index = 1; index < GATEWAYS; index += 1) others.push(await deployment.startGateway(`g${index}`))
}, 30_000)
afterAll(async () => {
  await Promise.all(others.map(async (gateway) => await gateway.stop()))
  await deployment.stop()
}, 30_000)

describe('an endpoint that names a limit of requests a second in its answers', () => {
  it('gets no more than that from all gateways together, and is used up to it', async () => {
    const [limited] = engines as [StubEndpoint]
    await sendFor(500)
    const arrivals: number[] = []
    limited.behaviour = (incoming, response, body) => {
      arrivals.push(performance.now())
      response.setHeader('x-gullwall-limit', String(PER_SECOND))
      answers(incoming, response, body)
    }
    const statuses = await sendFor(PLAY_MS)
    limited.behaviour = answers
    const [named = Infinity] = arrivals
    const counted = arrivals.filter((at) => at > named + HEARD_MS)
    expect(busiest(arrivals, named + HEARD_MS)).toBeLessThanOrEqual(MOST)
    expect(counted.length).toBeGreaterThan(PER_SECOND * (PLAY_MS - HEARD_MS) / 1000 * 2 / 3)
    // The others have room for all of it.
    expect(statuses.filter((status) => status !== 200)).toEqual([])
  }, 30_000)
})
