// Guards against sending requests to an engine that has requested a backoff by Retry-After, or that drains. An engine that rejects all
// requests is idle, and thus the cheapest choice for each next request; the retries then use up the retry budget.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const BACKOFF_S = 2
/** Time for which requests in flight may still arrive after a notice, in ms. */
const IN_FLIGHT_MS = 500
/** Maximum number of requests that may arrive in the remaining time of the backoff. */
const MAX_DURING_BACKOFF = 2
/** Two engines with four slots have capacity for all requests, but an idle third one is cheaper while these fill. */
const SPACING_MS = 33
const RUN_MS = 100

const engines = ['i-a', 'i-b', 'i-c'].map((incarnation) => new StubEndpoint(incarnation, 'app'))
const deployment = new GatewayDeployment(engines)
let ids = 0

async function send (path: string): Promise<number> {
  const reply = await request(deployment.url(path), {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': `request-${++ids}` }, body: 'a body'
  })
  await reply.body.text()
  return reply.statusCode
}

let rounds = 0
/** Returns paths for calls and for streams in turn. */
function nextPaths (): string[] {
  rounds += 1
  return rounds % 2 === 0 ? ['/look-up/1', '/order/1'] : ['/draft/1', '/scan/1']
}

/** Sends requests of each kind at even intervals; returns their statuses. */
async function sendFor (ms: number): Promise<number[]> {
  const replies: Array<Promise<number>> = []
  const endsAt = performance.now() + ms
  while (performance.now() < endsAt) {
    for (const path of nextPaths()) replies.push(send(path))
    await sleep(SPACING_MS)
  }
  return await Promise.all(replies)
}

const answerLater: Behaviour = (incoming, response, body) => {
  setTimeout(() => answerNow(incoming, response, body), RUN_MS)
}

const answerNow: Behaviour = (incoming, response, body) => {
  if (!/^\/(draft|scan)\//.test(incoming.url ?? '')) {
    answerOk(incoming, response, body)
    return
  }
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
  response.end('id: 1\ndata: 1\n\n')
}

beforeAll(async () => {
  await deployment.start()
  for (const engine of engines) {
    engine.behaviour = answerLater
    await deployment.register(engine)
  }
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

describe('an endpoint that rejects a request and requests a backoff', () => {
  it('receives only requests that were in flight until the backoff has ended', async () => {
    const [rejecting] = engines as [StubEndpoint]
    await sendFor(500)
    expect(rejecting.requestIds.length).toBeGreaterThan(0)
    const arrivals: number[] = []
    let requestedAt = 0
    rejecting.behaviour = (incoming, response) => {
      arrivals.push(performance.now())
      requestedAt ||= performance.now()
      const id = String(incoming.headers['x-gullwall-request-id'])
      response.writeHead(503, { 'x-gullwall-request-id': id, 'x-gullwall-ran': 'no', 'retry-after': String(BACKOFF_S) })
      response.end()
    }
    const statuses = await sendFor(1000 * BACKOFF_S + 300)
    rejecting.behaviour = answerLater
    expect(requestedAt).toBeGreaterThan(0)
    const duringBackoff = arrivals.filter((at) => at > requestedAt + IN_FLIGHT_MS && at < requestedAt + 1000 * BACKOFF_S)
    expect(duringBackoff.length).toBeLessThanOrEqual(MAX_DURING_BACKOFF)
    // The other engines have capacity for all requests.
    expect(statuses.filter((status) => status !== 200)).toEqual([])
  })
})

describe('an endpoint that announces in a response that it drains', () => {
  it('receives no later requests, even if its leases list it as ready', async () => {
    const [, draining] = engines as [StubEndpoint, StubEndpoint]
    // Waits for the second backoff that the first engine requested when it was tried again: one engine alone has too little capacity.
    await sleep(1000 * BACKOFF_S)
    let announcedAt = 0
    const arrivals: number[] = []
    draining.behaviour = (incoming, response, body) => {
      arrivals.push(performance.now())
      announcedAt ||= performance.now()
      response.setHeader('x-gullwall-draining', '1')
      answerLater(incoming, response, body)
    }
    const statuses = await sendFor(1500)
    await deployment.control.get('registrar').receiveHeartbeat({
      incarnation: 'i-b', service: 'app', address: draining.address, dataCentre: 'dc1', slots: 4, state: 'ready', sequence: 2, ageMs: 0
    })
    statuses.push(...await sendFor(500))
    expect(announcedAt).toBeGreaterThan(0)
    expect(arrivals.filter((at) => at > announcedAt + IN_FLIGHT_MS)).toEqual([])
    expect(statuses.filter((status) => status !== 200)).toEqual([])
  })
})
