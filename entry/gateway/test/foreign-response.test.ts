/** Guards against a late second response of an earlier request that is taken for the response of the next one on its connection. */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { answerNotRun, answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

interface Reply {
  id: string
  status: number
  text: string
  retryAfter: string | undefined
}

/** What the endpoints write before they run a request that comes on a connection on which they have rejected another one. */
let foreign: (earlierId: string) => string
/** Connections on which a request was rejected, with its id and the endpoint. */
const rejected = new Map<Socket, { id: string, endpoint: string }>()
const runs: string[] = []
/** So long a run takes, in ms: the foreign response is there first. */
const RUN_MS = 30
const MAX_REJECTIONS = 60
const HAS_FIRST_EVENT = 'id: 1\ndata: 1\n\n'

const endpoints = ['i-1', 'i-2', 'i-3'].map((incarnation) => new StubEndpoint(incarnation, 'app', behaviourOf(incarnation)))
const deployment = new GatewayDeployment(endpoints, undefined, { retryRatio: 1, retryWindowMs: 1000, retrySlack: 5000 })
let ids = 0

function behaviourOf (endpoint: string): Behaviour {
  return (incoming, response, body) => behave(endpoint, incoming, response, body)
}

function behave (endpoint: string, incoming: IncomingMessage, response: ServerResponse, body: string): void {
  const id = String(incoming.headers['x-gullwall-request-id'] ?? '')
  if (body === 'reject') {
    rejected.set(incoming.socket, { id, endpoint })
    answerNotRun(incoming, response, body)
    return
  }
  const earlierId = rejected.get(incoming.socket)?.id
  rejected.delete(incoming.socket)
  runs.push(id)
  if (earlierId !== undefined) incoming.socket.write(foreign(earlierId))
  const answer = () => {
    if (!/^\/(draft|scan)\//.test(incoming.url ?? '')) answerOk(incoming, response, body)
    else response.writeHead(200, { 'x-gullwall-request-id': id }).end(HAS_FIRST_EVENT)
  }
  setTimeout(answer, RUN_MS)
}

async function send (path: string, body: string, headers: Record<string, string> = { 'x-gullwall-request-id': `request-${++ids}` }): Promise<Reply> {
  const reply = await request(deployment.url(path), { method: 'POST', headers: { authorization: 'Bearer secret', ...headers }, body })
  const text = await reply.body.text()
  return { id: headers['x-gullwall-request-id'] ?? '', status: reply.statusCode, text, retryAfter: reply.headers['retry-after'] as string | undefined }
}

/** Has each endpoint reject a request, so that the next one comes on a connection on which a second response may be due. */
async function rejectOnce (): Promise<void> {
  rejected.clear()
  const isComplete = () => new Set([...rejected.values()].map(({ endpoint }) => endpoint)).size === endpoints.length
  for (let sent = 0; sent < MAX_REJECTIONS && !isComplete(); sent += 1) await send('/order/1', 'reject')
  expect(isComplete()).toBe(true)
}

const headOf = (status: number, id: string, more = '') => `HTTP/1.1 ${status} Status\r\nx-gullwall-request-id: ${id}\r\n${more}content-length: 0\r\n\r\n`
const runsOf = (id: string) => runs.filter((run) => run === id).length
const notices = () => deployment.gateway.get('notices')

beforeAll(async () => {
  await deployment.start()
  for (const endpoint of endpoints) await deployment.register(endpoint)
  await deployment.configure(1)
  await deployment.awaitRetryBudget()
})
beforeEach(() => { runs.length = 0 })
afterAll(async () => await deployment.stop())

const FOREIGN: ReadonlyArray<[string, (earlierId: string) => string]> = [
  ['that says that it was not run', (id) => headOf(503, id, 'x-gullwall-ran: no\r\n')],
  ['of another process at the address', (id) => headOf(421, id)],
  ['that says so without any id', () => 'HTTP/1.1 503 Status\r\nx-gullwall-ran: no\r\ncontent-length: 0\r\n\r\n'],
  ['of another process, without any id', () => 'HTTP/1.1 421 Status\r\ncontent-length: 0\r\n\r\n'],
  ['with an interim response before it', (id) => `HTTP/1.1 103 Early\r\nx-gullwall-request-id: ${id}\r\n\r\n${headOf(503, id, 'x-gullwall-ran: no\r\n')}`],
  ['that succeeded', (id) => headOf(200, id)]
]

describe.each(FOREIGN)('a second response to an earlier request, %s', (_what, bytes) => {
  beforeEach(async () => {
    foreign = bytes
    await rejectOnce()
  })

  it.each(['/order/2', '/scan/2'])('does not have a request run twice that may run once (%s), nor promise that it has not run', async (path) => {
    const reply = await send(path, 'run')
    expect(reply.status).toBe(502)
    expect(reply.retryAfter).toBeUndefined()
    await sleep(2 * RUN_MS)
    expect(runsOf(reply.id)).toBe(1)
  })

  it.each([['/look-up/3', 'POST /look-up/3 run'], ['/draft/3', HAS_FIRST_EVENT]])('lets a repeatable request (%s) go on elsewhere, within its attempts', async (path, text) => {
    // The other endpoints answer as they should.
    rejected.delete([...rejected.keys()][0] as Socket)
    const before = notices().totals.foreign
    const reply = await send(path, 'run')
    if (reply.status === 200) expect(reply.text).toBe(text)
    else expect(reply.status).toBe(502)
    expect(runsOf(reply.id)).toBeLessThanOrEqual(2)
    expect(notices().totals.foreign - before).toBeLessThanOrEqual(2)
  })
})

it('a second response teaches nothing of the endpoint: neither draining, nor a limit, nor a backoff, nor its end', async () => {
  foreign = (id) => {
    const said = 'x-gullwall-draining: 1\r\nx-gullwall-limit: 0.5\r\nretry-after: 30\r\n'
    return `HTTP/1.1 103 Early\r\nx-gullwall-request-id: ${id}\r\n${said}\r\n${headOf(421, id, said)}`
  }
  await rejectOnce()
  const before = { ...notices().totals }
  const reply = await send('/order/4', 'run')
  expect(reply.status).toBe(502)
  const { view } = deployment.gateway.services
  expect(notices().totals).toEqual({ ...before, foreign: before.foreign + 1 })
  for (const { incarnation } of endpoints) {
    expect(view.acceptsRequests(incarnation)).toBe(true)
    expect(view.leases.get(incarnation)?.state).toBe('ready')
    expect(view.leases.get(incarnation)?.limit).toBeUndefined()
    expect(notices().backoffs.remainingMs(incarnation)).toBe(0)
  }
})

it('a true rejection is still one: the request goes on elsewhere, or is refused as not run, also if it may run once', async () => {
  rejected.clear()
  const rejectedIds = new Set<string>()
  for (const stub of endpoints) {
    stub.behaviour = (incoming, response, body) => {
      const id = String(incoming.headers['x-gullwall-request-id'])
      const act = rejectedIds.has(id) ? behaviourOf(stub.incarnation) : answerNotRun
      rejectedIds.add(id)
      act(incoming, response, body)
    }
  }
  try {
    let isServedElsewhere = false
    for (let sent = 0; sent < MAX_REJECTIONS && !isServedElsewhere; sent += 1) {
      const { id, status } = await send('/order/5', 'run')
      expect([status, runsOf(id)]).toEqual(status === 200 ? [200, 1] : [503, 0])
      isServedElsewhere = status === 200
    }
    expect(isServedElsewhere).toBe(true)
  } finally {
    for (const stub of endpoints) stub.behaviour = behaviourOf(stub.incarnation)
  }
})

it('a rejection without an id counts for a request without an id, which no endpoint runs', async () => {
  foreign = () => { throw new Error('nothing was to be run') }
  const reply = await send('/order/6', 'reject', {})
  expect(reply.status).toBe(503)
  expect(runs).toEqual([])
})

it('a second response that comes while nothing is sent closes its connection, and the next request gets its own response', async () => {
  const before = deployment.gateway.get('connections').unsolicitedCount
  await rejectOnce()
  for (const [socket, { id }] of rejected) socket.write(headOf(503, id, 'x-gullwall-ran: no\r\n'))
  await until('the connections to be closed', () => deployment.gateway.get('connections').unsolicitedCount === before + rejected.size)
  expect(await send('/order/7', 'run')).toMatchObject({ status: 200, text: 'POST /order/7 run' })
})
