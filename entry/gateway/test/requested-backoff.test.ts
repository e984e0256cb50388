// Two engines turned a gateway away, and asked in the same answers for three seconds without requests. The gateway read that
// the request had not run, and nothing else: an engine that turns everything away runs nothing, so that it was the cheapest
// choice for the next request, and the one after that. In one play it sent them 14 more within 0.9 s, and its budget of
// repeats fell from 12.7 to 2.0; the lines read, 215 ms after the first answer and for eight seconds on,
//   "decision":"retry" ... "endpoint":"i-24f9d60e00" ... "why":"the endpoint answered 503, not run; budget left 10.0"
// An endpoint that said in its answers that it drains would have been sent requests in the same way.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const REST_S = 2
/** What was under way when the word came may still arrive for so long, in ms. */
const UNDER_WAY_MS = 500
/** So many may come all the same in the rest of the time. */
const MOST_WITHIN = 2
/** Two engines of four slots have room for what comes; a third that runs nothing is the cheaper one as they fill. */
const SPACING_MS = 33
const RUNS_MS = 100

const engines = ['i-a', 'i-b', 'i-c'].map((incarnation) => new StubEndpoint(incarnation, 'app'))
const deployment = new GatewayDeployment(engines)
let ids = 0

async function send (path: string): Promise<number> {
  const reply = await request(deployment.url(path), {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': `request-${++ids}` }, body: 'a sheet'
  })
  await reply.body.text()
  return reply.statusCode
}

let rounds = 0
/** Two of the kinds of request in turn: calls, then streams. */
function nextPaths (): string[] {
  rounds += 1
  return rounds % 2 === 0 ? ['/look-up/1', '/order/1'] : ['/draft/1', '/scan/1']
}

/** Sends requests of each kind at even intervals; gives their statuses. */
async function sendFor (ms: number): Promise<number[]> {
  const replies: Array<Promise<number>> = []
  const endsAt = performance.now() + ms
  while (performance.now() < endsAt) {
    for (const path of nextPaths()) replies.push(send(path))
    await sleep(SPACING_MS)
  }
  return await Promise.all(replies)
}

const answers: Behaviour = (incoming, response, body) => {
  setTimeout(() => answerNow(incoming, response, body), RUNS_MS)
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
    engine.behaviour = answers
    await deployment.register(engine)
  }
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

describe('an endpoint that turns a request away and asks for rest', () => {
  it('gets no more than what was under way, until the time has passed', async () => {
    const [resting] = engines as [StubEndpoint]
    await sendFor(500)
    expect(resting.requestIds.length).toBeGreaterThan(0)
    const arrivals: number[] = []
    let asked = 0
    resting.behaviour = (incoming, response) => {
      arrivals.push(performance.now())
      asked ||= performance.now()
      const id = String(incoming.headers['x-gullwall-request-id'])
      response.writeHead(503, { 'x-gullwall-request-id': id, 'x-gullwall-ran': 'no', 'retry-after': String(REST_S) })
      response.end()
    }
    const statuses = await sendFor(1000 * REST_S + 300)
    resting.behaviour = answers
    expect(asked).toBeGreaterThan(0)
    const within = arrivals.filter((at) => at > asked + UNDER_WAY_MS && at < asked + 1000 * REST_S)
    expect(within.length).toBeLessThanOrEqual(MOST_WITHIN)
    // The others have room for all of it.
    expect(statuses.filter((status) => status !== 200)).toEqual([])
  })
})

describe('an endpoint that says in an answer that it drains', () => {
  it('gets nothing that comes later, though its leases say that it is ready', async () => {
    const [, draining] = engines as [StubEndpoint, StubEndpoint]
    // The first engine was tried after its rest, and has asked for another one; without both there is no room for all.
    await sleep(1000 * REST_S)
    let said = 0
    const arrivals: number[] = []
    draining.behaviour = (incoming, response, body) => {
      arrivals.push(performance.now())
      said ||= performance.now()
      response.setHeader('x-gullwall-draining', '1')
      answers(incoming, response, body)
    }
    const statuses = await sendFor(1500)
    await deployment.control.get('registrar').receiveHeartbeat({
      incarnation: 'i-b', service: 'app', address: draining.address, dataCentre: 'dc1', slots: 4, state: 'ready', sequence: 2, ageMs: 0
    })
    statuses.push(...await sendFor(500))
    expect(said).toBeGreaterThan(0)
    expect(arrivals.filter((at) => at > said + UNDER_WAY_MS)).toEqual([])
    expect(statuses.filter((status) => status !== 200)).toEqual([])
  })
})
