/** Notices of endpoints in their response heads (Retry-After, draining), and how requests are handled while a notice applies. */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, afterEach, beforeAll, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { buildStory, type LogLine } from '@gullwall/cli.story'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { until } from '@gullwall/bench.deployment'
import { answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

interface Reply {
  id: string
  status: number
  retryAfterMs: number
  text: string
  tookMs: number
}

/** Time for which a request waits for an endpoint: a quarter of the target of the routes, in ms. */
const MAX_WAIT_MS = 100
/** Time over which the retries of refused callers are spread, in ms. */
const RETRY_SPREAD_MS = 1000

const engines = ['i-a', 'i-b', 'i-c'].map((incarnation) => new StubEndpoint(incarnation, 'app'))
const [a, b, c] = engines as [StubEndpoint, StubEndpoint, StubEndpoint]
const deployment = new GatewayDeployment(engines)
let ids = 0
let starts = 0
let isDisconnected = false

async function send (path = '/look-up/1', gateway: Kernel<GatewayServices> = deployment.gateway, headers: Record<string, string> = {}): Promise<Reply> {
  const id = `request-${++ids}`
  const startedAt = performance.now()
  const reply = await request(`http://${gateway.get('ingress').address}${path}`, {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...headers }, body: 'a body'
  })
  const text = await reply.body.text()
  return {
    id, status: reply.statusCode, retryAfterMs: 1000 * Number(reply.headers['retry-after']), text, tookMs: performance.now() - startedAt
  }
}

const headOf = (incoming: IncomingMessage, more: Record<string, string>) => (
  { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']), ...more }
)

/** Rejects a request and requests a backoff. */
const rejectWith = (retryAfter: string): Behaviour => (incoming, response) => {
  response.writeHead(503, headOf(incoming, { 'x-gullwall-ran': 'no', 'retry-after': retryAfter }))
  response.end()
}

const backoffs = () => deployment.gateway.get('notices').backoffs
const backoffMs = ({ incarnation }: StubEndpoint) => backoffs().remainingMs(incarnation)

/** Records a backoff that endpoints request, as a response with Retry-After does. */
function backOff (ms: number, ...endpoints: StubEndpoint[]): void {
  for (const { incarnation } of endpoints) backoffs().recordBackoff(incarnation, ms)
}

/** Gives the process at an address a new incarnation without any notices. */
async function restart (endpoint: StubEndpoint): Promise<void> {
  starts += 1
  Object.assign(endpoint, { incarnation: `${endpoint.incarnation.slice(0, 3)}-${starts}` })
  await deployment.register(endpoint)
}

beforeAll(async () => {
  await deployment.start()
  for (const engine of engines) await deployment.register(engine)
  await deployment.configure(1)
  await deployment.awaitRetryBudget()
})
afterAll(async () => await deployment.stop())
afterEach(async () => {
  if (isDisconnected) return
  for (const engine of engines) {
    engine.behaviour = answerOk
    await restart(engine)
  }
})

describe('while all endpoints back off, a request', () => {
  it('whose maximum wait ends before the first backoff is refused at once without running, with a delay until that backoff ends', async () => {
    backOff(5000, a, b)
    backOff(3000, c)
    const before = engines.reduce((sum, { requestIds }) => sum + requestIds.length, 0)
    for (const path of ['/look-up/1', '/order/1', '/draft/1', '/scan/1']) {
      const { status, retryAfterMs, text, tookMs, id } = await send(path)
      expect(status, path).toBe(503)
      expect(JSON.parse(text)).toMatchObject({ error: { ran: 'no' } })
      expect(retryAfterMs).toBeGreaterThanOrEqual(backoffMs(c))
      expect(retryAfterMs).toBeLessThanOrEqual(3000 + RETRY_SPREAD_MS)
      expect(tookMs).toBeLessThan(MAX_WAIT_MS)
      expect(buildStory(deployment.logLines.map((line) => JSON.parse(line) as LogLine), id).at(-1)).toMatchObject({ what: 'refuse' })
      expect(text).toContain('requested a backoff')
    }
    expect(engines.reduce((sum, { requestIds }) => sum + requestIds.length, 0)).toBe(before)
  })

  it('whose maximum wait ends after the first backoff waits for that endpoint, and is served', async () => {
    backOff(5000, a, b)
    backOff(MAX_WAIT_MS / 2, c)
    expect((await send()).status).toBe(200)
  })

  it('is refused with the remaining backoff if its own attempts received the backoffs', async () => {
    for (const engine of engines) engine.behaviour = rejectWith('2')
    const { status, retryAfterMs } = await send()
    expect(status).toBe(503)
    expect(retryAfterMs).toBeGreaterThan(1500)
    expect(engines.filter((engine) => backoffMs(engine) > 0)).toHaveLength(3)
  })

  it('whose response has begun resumes at the first endpoint whose backoff ends', async () => {
    const text = (from: number, to: number) => Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: x\n\n`).join('')
    const stream: Behaviour = (incoming, response) => {
      const from = Number(incoming.headers['last-event-id'] ?? 0) + 1
      response.writeHead(200, headOf(incoming, { 'content-type': 'text/event-stream' }))
      if (from > 1) {
        response.end(text(from, 4))
        return
      }
      response.write(text(1, 2))
      backOff(600, a, b, c)
      setTimeout(() => response.destroy(), 50)
    }
    for (const engine of engines) engine.behaviour = stream
    const { status, text: received, tookMs } = await send('/draft/1')
    expect({ status, received }).toEqual({ status: 200, received: text(1, 4) })
    expect(tookMs).toBeGreaterThan(600)
  })
})

describe('when a backoff ends', () => {
  /** Delays every response until `release` is called. */
  function delayResponses (endpoint: StubEndpoint): { pendingCount: () => number, release: () => void } {
    const pending: Array<() => void> = []
    endpoint.behaviour = (incoming, response, body) => { pending.push(() => answerOk(incoming, response, body)) }
    return { pendingCount: () => pending.length, release: () => { for (const respond of pending.splice(0)) respond() } }
  }

  it('one waiting request is sent first, by arrival, and the others after its response', async () => {
    backOff(60_000, a, b)
    backOff(30, c)
    const order: string[] = []
    c.behaviour = (incoming, response, body) => {
      order.push(incoming.url ?? '')
      answerOk(incoming, response, body)
    }
    const sending = ['/look-up/1', '/look-up/2', '/look-up/3', '/look-up/4'].map(async (path) => await send(path))
    await Promise.all(sending)
    expect(order).toEqual(['/look-up/1', '/look-up/2', '/look-up/3', '/look-up/4'])
  })

  it('only one request is in flight before the first response, even if many wait', async () => {
    backOff(60_000, a, b)
    backOff(60, c)
    const { pendingCount, release } = delayResponses(c)
    const sending = Array.from({ length: 12 }, async () => await send())
    await until('the first request', () => pendingCount() === 1)
    await sleep(2 * MAX_WAIT_MS)
    expect(pendingCount()).toBe(1)
    release()
    const statuses = (await Promise.all(sending)).map(({ status }) => status).sort()
    expect(statuses).toEqual([200, ...Array.from({ length: 11 }, () => 503)])
  })
})

describe('a backoff that an endpoint requests', () => {
  it('applies to requests that were assigned to the endpoint before and wait for a connection', async () => {
    backOff(60_000, b, c)
    await deployment.configure(2, {}, { maxConnections: 2 })
    await restart(a)
    let arrivals = 0
    a.behaviour = (incoming, response, body) => {
      arrivals += 1
      setTimeout(() => rejectWith('3')(incoming, response, body), 50)
    }
    const replies = await Promise.all(Array.from({ length: 4 }, async () => await send()))
    await deployment.configure(3)
    expect(arrivals).toBe(2)
    expect(replies.map(({ status }) => status)).toEqual([503, 503, 503, 503])
  })

  it.each([['0', 0], ['0.4', 400], [' 2 ', 2000], ['7200', 7_200_000], ['soon', 0], ['-3', 0]])(
    'is read from the Retry-After value %j', async (text, requestedMs) => {
      for (const engine of engines) engine.behaviour = rejectWith(text)
      const sentAt = performance.now()
      await send('/order/1')
      const remainingMs = Math.max(...engines.map(backoffMs))
      expect(remainingMs).toBeGreaterThanOrEqual(Math.max(0, requestedMs - (performance.now() - sentAt)))
      expect(remainingMs).toBeLessThanOrEqual(requestedMs)
    })

  it('may be a date by the clock of the endpoint', async () => {
    const behaviour: Behaviour = (incoming, response) => {
      response.writeHead(503, headOf(incoming, {
        'x-gullwall-ran': 'no', date: 'Thu, 03 Dec 2020 10:00:00 GMT', 'retry-after': 'Thu, 03 Dec 2020 10:00:07 GMT'
      }))
      response.end()
    }
    for (const engine of engines) engine.behaviour = behaviour
    await send()
    expect(Math.max(...engines.map(backoffMs))).toBeGreaterThan(6000)
  })

  it('applies if the request ran and failed, of which the caller learns without the status, which would be a promise', async () => {
    const behaviour: Behaviour = (incoming, response) => {
      response.writeHead(503, headOf(incoming, { 'retry-after': '4' }))
      response.end('it ran and failed')
    }
    for (const engine of engines) engine.behaviour = behaviour
    expect(await send('/order/1')).toMatchObject({ status: 502, text: expect.stringContaining('ERR_GULLWALL_UNKNOWN_OUTCOME') })
    expect(engines.filter((engine) => backoffMs(engine) > 3000)).toHaveLength(1)
  })

  it('ends with the incarnation', async () => {
    const incarnationOf = (born: number) => ({ incarnation: `e@${born}`, life: { name: 'e', born } })
    const sendHeartbeat = async (born: number) => await deployment.control.get('registrar').receiveHeartbeat({
      ...incarnationOf(born), service: 'app', address: c.address, dataCentre: 'dc1', slots: 4, state: 'ready', sequence: 1, ageMs: 0
    })
    backOff(60_000, a, b)
    await sendHeartbeat(1000)
    await until('the first incarnation', () => deployment.gateway.get('view').acceptsRequests('e@1000'))
    c.behaviour = rejectWith('60')
    expect((await send()).status).toBe(503)
    expect(backoffs().remainingMs('e@1000')).toBeGreaterThan(50_000)
    c.behaviour = answerOk
    await sendHeartbeat(2000)
    await until('the second incarnation', () => deployment.gateway.get('view').acceptsRequests('e@2000'))
    expect((await send()).status).toBe(200)
  })

  it('is not attributed to the addressed endpoint if another process at the address responds', async () => {
    const behaviour: Behaviour = (incoming, response) => {
      response.writeHead(421, headOf(incoming, { 'x-gullwall-draining': '1' }))
      response.end()
    }
    a.behaviour = behaviour
    backOff(60_000, b, c)
    await send()
    expect(deployment.gateway.get('view').leases.get(a.incarnation)?.state).toBe('ready')
  })

  it('excludes the endpoint as a source for copies of prompts', async () => {
    const prompt = { 'x-gullwall-prompt-parts': 'contract:9000,own:10' }
    await send('/look-up/1', deployment.gateway, prompt)
    const holder = engines.find(({ headers }) => headers.at(-1)?.['x-gullwall-prompt-parts'] !== undefined) ?? a
    await sleep(800)
    backOff(60_000, holder)
    const { id } = await send('/look-up/1', deployment.gateway, prompt)
    const sentHeaders = engines.flatMap(({ headers }) => headers).find((headers) => headers['x-gullwall-request-id'] === id)
    expect(sentHeaders).toBeDefined()
    expect(sentHeaders?.['x-gullwall-prefix-source']).toBeUndefined()
  })
})

describe('an endpoint that drains', () => {
  const draining = (behaviour: (incoming: IncomingMessage, response: ServerResponse, body: string) => void): Behaviour => behaviour
  const isUsable = (gateway: Kernel<GatewayServices>, { incarnation }: StubEndpoint) => gateway.get('view').acceptsRequests(incarnation)

  it.each([
    ['a success', draining((incoming, response, body) => {
      response.setHeader('x-gullwall-draining', '1')
      answerOk(incoming, response, body)
    })],
    ['a failure', draining((incoming, response) => {
      response.writeHead(500, headOf(incoming, { 'x-gullwall-draining': '1' }))
      response.end()
    })],
    ['a refusal', draining((incoming, response) => {
      response.writeHead(503, headOf(incoming, { 'x-gullwall-draining': '1', 'x-gullwall-ran': 'no' }))
      response.end()
    })],
    ['an interim response', draining((incoming, response, body) => {
      response.writeEarlyHints({ link: '</x>', ...headOf(incoming, { 'x-gullwall-draining': '1' }) })
      answerOk(incoming, response, body)
    })],
    ['an incomplete response', draining((incoming, response) => {
      response.writeHead(200, headOf(incoming, { 'x-gullwall-draining': '1', 'content-length': '100' }))
      response.write('a part')
      setTimeout(() => response.destroy(), 20)
    })]
  ])('and announces this in %s receives no more requests from any gateway', async (_kind, behaviour) => {
    const other = await deployment.startGateway('b2')
    backOff(60_000, b, c)
    a.behaviour = behaviour
    await send('/order/1')
    expect(isUsable(deployment.gateway, a)).toBe(false)
    await until('the other gateway to know', () => !isUsable(other, a))
    await other.stop()
  })

  it.each<[string, Behaviour]>([
    ['a response to another request', (_incoming, response) => {
      response.writeHead(200, { 'x-gullwall-draining': '1', 'x-gullwall-request-id': 'another' })
      response.end()
    }],
    ['an interim response without an id', (incoming, response, body) => {
      response.writeEarlyHints({ link: '</x>', 'x-gullwall-draining': '1' })
      answerOk(incoming, response, body)
    }]
  ])('is not taken to drain because of %s, which need not come from it', async (_kind, behaviour) => {
    backOff(60_000, b, c)
    a.behaviour = behaviour
    const { draining: before } = deployment.gateway.get('notices').totals
    await send('/order/1')
    expect(isUsable(deployment.gateway, a)).toBe(true)
    expect(deployment.gateway.get('notices').totals.draining).toBe(before)
  })

  it('is reported again to a control process that lists the endpoint as ready', async () => {
    const { control, gateway } = deployment
    // The first report is lost with a link. The next leases that control sends show that it is missing.
    vi.spyOn(gateway.get('controlLinks'), 'reportDraining').mockImplementationOnce(() => {})
    const { incarnation, service, address, dataCentre } = a
    const description = { incarnation, service, address, dataCentre, slots: 4 }
    gateway.get('notices').apply(description, { status: 200, sentAt: performance.now(), notices: { isDraining: true, backoffMs: undefined } })
    const lease = control.get('leases').get(incarnation)
    expect(lease?.state).toBe('ready')
    if (lease !== undefined) control.get('registrar').publishChanges([lease])
    await until('control to know', () => control.get('leases').get(incarnation)?.state === 'draining')
  })
})

describe('a gateway that is disconnected from control', () => {
  it('still applies draining notices and backoffs', async () => {
    isDisconnected = true
    await deployment.control.stop()
    backOff(60_000, c)
    a.behaviour = (incoming, response, body) => {
      response.setHeader('x-gullwall-draining', '1')
      answerOk(incoming, response, body)
    }
    b.behaviour = rejectWith('30')
    for (let index = 0; index < 20; index += 1) await send()
    expect([a, b].map(({ requestIds }) => requestIds.filter((id) => Number(id.split('-')[1]) > ids - 20).length)).toEqual([1, 1])
    const metrics = await deployment.gateway.get('registry').metrics()
    expect(metrics).toMatch(/gullwall_draining_heard_total [1-9]/)
    expect(metrics).toMatch(/gullwall_unreadable_notices_total [1-9]/)
    expect(metrics).toMatch(/gullwall_backoffs_asked_total [1-9]/)
    expect(metrics).toMatch(/gullwall_backing_off_endpoints [1-9]/)
    const status = await request(`http://${deployment.gateway.get('admin').address}/status`)
    const { resting } = await status.body.json() as { resting: Array<{ endpoint: string }> }
    expect(resting.map(({ endpoint }) => endpoint)).toContain(b.incarnation)
  })
})
