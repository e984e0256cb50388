/** What endpoints say of themselves in their answers, and what requests get while that holds. */
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, afterEach, beforeAll, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { tellStory, type LogLine } from '@gullwall/cli.story'
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

/** A quarter of the target of the routes, in ms: so long a request waits for an endpoint. */
const PATIENCE_MS = 100
const SPREAD_MS = 1000

const engines = ['i-a', 'i-b', 'i-c'].map((incarnation) => new StubEndpoint(incarnation, 'app'))
const [a, b, c] = engines as [StubEndpoint, StubEndpoint, StubEndpoint]
const deployment = new GatewayDeployment(engines)
let ids = 0
let starts = 0
let isCutOff = false

async function send (path = '/look-up/1', gateway: Kernel<GatewayServices> = deployment.gateway, headers: Record<string, string> = {}): Promise<Reply> {
  const id = `request-${++ids}`
  const startedAt = performance.now()
  const reply = await request(`http://${gateway.get('ingress').address}${path}`, {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...headers }, body: 'a sheet'
  })
  const text = await reply.body.text()
  return {
    id, status: reply.statusCode, retryAfterMs: 1000 * Number(reply.headers['retry-after']), text, tookMs: performance.now() - startedAt
  }
}

const headOf = (incoming: IncomingMessage, more: Record<string, string>) => (
  { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']), ...more }
)

/** Turns a request away and asks for rest. */
const asksFor = (retryAfter: string): Behaviour => (incoming, response) => {
  response.writeHead(503, headOf(incoming, { 'x-gullwall-ran': 'no', 'retry-after': retryAfter }))
  response.end()
}

const backoffs = () => deployment.gateway.get('notices').backoffs
const restMs = ({ incarnation }: StubEndpoint) => backoffs().remainingMs(incarnation)

/** Has endpoints ask for rest, as an answer to a request would. */
function rest (ms: number, ...resting: StubEndpoint[]): void {
  for (const { incarnation } of resting) backoffs().recordBackoff(incarnation, ms)
}

/** Gives the process at an address a new incarnation, of which nothing has been heard. */
async function startAgain (standIn: StubEndpoint): Promise<void> {
  starts += 1
  Object.assign(standIn, { incarnation: `${standIn.incarnation.slice(0, 3)}-${starts}` })
  await deployment.register(standIn)
}

beforeAll(async () => {
  await deployment.start()
  for (const engine of engines) await deployment.register(engine)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())
afterEach(async () => {
  if (isCutOff) return
  for (const engine of engines) {
    engine.behaviour = answerOk
    await startAgain(engine)
  }
})

describe('while all endpoints rest, a request', () => {
  it('whose patience ends sooner is refused at once, with the time of the first end, and truly has not run', async () => {
    rest(5000, a, b)
    rest(3000, c)
    const before = engines.reduce((sum, { requestIds }) => sum + requestIds.length, 0)
    for (const path of ['/look-up/1', '/order/1', '/draft/1', '/scan/1']) {
      const { status, retryAfterMs, text, tookMs, id } = await send(path)
      expect(status, path).toBe(503)
      expect(JSON.parse(text)).toMatchObject({ error: { ran: 'no' } })
      expect(retryAfterMs).toBeGreaterThanOrEqual(restMs(c))
      expect(retryAfterMs).toBeLessThanOrEqual(3000 + SPREAD_MS)
      expect(tookMs).toBeLessThan(PATIENCE_MS)
      expect(tellStory(deployment.logLines.map((line) => JSON.parse(line) as LogLine), id).at(-1)).toMatchObject({ what: 'refuse' })
      expect(text).toContain('wants nothing for')
    }
    expect(engines.reduce((sum, { requestIds }) => sum + requestIds.length, 0)).toBe(before)
  })

  it('whose patience lasts until the first end waits for it, and is served', async () => {
    rest(5000, a, b)
    rest(PATIENCE_MS / 2, c)
    expect((await send()).status).toBe(200)
  })

  it('is refused for as long as is left where its own attempt heard the word', async () => {
    for (const engine of engines) engine.behaviour = asksFor('2')
    const { status, retryAfterMs } = await send()
    expect(status).toBe(503)
    expect(retryAfterMs).toBeGreaterThan(1500)
    expect(engines.filter((engine) => restMs(engine) > 0)).toHaveLength(3)
  })

  it('that has begun to be answered goes on with the first that comes back', async () => {
    const text = (from: number, to: number) => Array.from({ length: to - from + 1 }, (_, place) => `id: ${from + place}\ndata: x\n\n`).join('')
    const stream: Behaviour = (incoming, response) => {
      const from = Number(incoming.headers['last-event-id'] ?? 0) + 1
      response.writeHead(200, headOf(incoming, { 'content-type': 'text/event-stream' }))
      if (from > 1) {
        response.end(text(from, 4))
        return
      }
      response.write(text(1, 2))
      rest(600, a, b, c)
      setTimeout(() => response.destroy(), 50)
    }
    for (const engine of engines) engine.behaviour = stream
    const { status, text: got, tookMs } = await send('/draft/1')
    expect({ status, got }).toEqual({ status: 200, got: text(1, 4) })
    expect(tookMs).toBeGreaterThan(600)
  })
})

describe('when a rest ends', () => {
  /** Holds every request until it is let go. */
  function holding (standIn: StubEndpoint): { open: () => number, letGo: () => void } {
    const held: Array<() => void> = []
    standIn.behaviour = (incoming, response, body) => { held.push(() => answerOk(incoming, response, body)) }
    return { open: () => held.length, letGo: () => { for (const go of held.splice(0)) go() } }
  }

  it('one of those that wait goes first, by arrival, and the others after its answer', async () => {
    rest(60_000, a, b)
    rest(30, c)
    const order: string[] = []
    c.behaviour = (incoming, response, body) => {
      order.push(incoming.url ?? '')
      answerOk(incoming, response, body)
    }
    const sending = ['/look-up/1', '/look-up/2', '/look-up/3', '/look-up/4'].map(async (path) => await send(path))
    await Promise.all(sending)
    expect(order).toEqual(['/look-up/1', '/look-up/2', '/look-up/3', '/look-up/4'])
  })

  it('no more than one is under way before it has answered, however many have piled up', async () => {
    rest(60_000, a, b)
    rest(60, c)
    const { open, letGo } = holding(c)
    const sending = Array.from({ length: 12 }, async () => await send())
    await until('the first try', () => open() === 1)
    await sleep(2 * PATIENCE_MS)
    expect(open()).toBe(1)
    letGo()
    const statuses = (await Promise.all(sending)).map(({ status }) => status).sort()
    expect(statuses).toEqual([200, ...Array.from({ length: 11 }, () => 503)])
  })
})

describe('the word of one endpoint', () => {
  it('keeps back what was chosen before and waits for a connection', async () => {
    rest(60_000, b, c)
    await deployment.configure(2, {}, { maxConnections: 2 })
    await startAgain(a)
    let arrivals = 0
    a.behaviour = (incoming, response, body) => {
      arrivals += 1
      setTimeout(() => asksFor('3')(incoming, response, body), 50)
    }
    const replies = await Promise.all(Array.from({ length: 4 }, async () => await send()))
    await deployment.configure(3)
    expect(arrivals).toBe(2)
    expect(replies.map(({ status }) => status)).toEqual([503, 503, 503, 503])
  })

  it.each([['0', 0], ['0.4', 400], [' 2 ', 2000], ['7200', 7_200_000], ['soon', 0], ['-3', 0]])(
    'may be the time %j', async (text, askedMs) => {
      for (const engine of engines) engine.behaviour = asksFor(text)
      const sentAt = performance.now()
      await send('/order/1')
      const left = Math.max(...engines.map(restMs))
      expect(left).toBeGreaterThanOrEqual(Math.max(0, askedMs - (performance.now() - sentAt)))
      expect(left).toBeLessThanOrEqual(askedMs)
    })

  it('may be a date, by the endpoint\'s own clock', async () => {
    const behaviour: Behaviour = (incoming, response) => {
      response.writeHead(503, headOf(incoming, {
        'x-gullwall-ran': 'no', date: 'Thu, 03 Dec 2020 10:00:00 GMT', 'retry-after': 'Thu, 03 Dec 2020 10:00:07 GMT'
      }))
      response.end()
    }
    for (const engine of engines) engine.behaviour = behaviour
    await send()
    expect(Math.max(...engines.map(restMs))).toBeGreaterThan(6000)
  })

  it('is heard in an answer that is passed on as a failure', async () => {
    const behaviour: Behaviour = (incoming, response) => {
      response.writeHead(503, headOf(incoming, { 'retry-after': '4' }))
      response.end('it ran and failed')
    }
    for (const engine of engines) engine.behaviour = behaviour
    expect(await send('/order/1')).toMatchObject({ status: 503, text: 'it ran and failed' })
    expect(engines.filter((engine) => restMs(engine) > 3000)).toHaveLength(1)
  })

  it('ends with its life', async () => {
    const life = (born: number) => ({ incarnation: `e@${born}`, life: { name: 'e', born } })
    const hear = async (born: number) => await deployment.control.get('registrar').receiveHeartbeat({
      ...life(born), service: 'app', address: c.address, dataCentre: 'dc1', slots: 4, state: 'ready', sequence: 1, ageMs: 0
    })
    rest(60_000, a, b)
    await hear(1000)
    await until('the first life', () => deployment.gateway.get('view').acceptsRequests('e@1000'))
    c.behaviour = asksFor('60')
    expect((await send()).status).toBe(503)
    expect(backoffs().remainingMs('e@1000')).toBeGreaterThan(50_000)
    c.behaviour = answerOk
    await hear(2000)
    await until('the second life', () => deployment.gateway.get('view').acceptsRequests('e@2000'))
    expect((await send()).status).toBe(200)
  })

  it('is not taken for that of another one whose address it has', async () => {
    const behaviour: Behaviour = (incoming, response) => {
      response.writeHead(421, headOf(incoming, { 'x-gullwall-draining': '1' }))
      response.end()
    }
    a.behaviour = behaviour
    rest(60_000, b, c)
    await send()
    expect(deployment.gateway.get('view').leases.get(a.incarnation)?.state).toBe('ready')
  })

  it('names it no more as a source for copies of prompts', async () => {
    const prompt = { 'x-gullwall-prompt-parts': 'contract:9000,own:10' }
    await send('/look-up/1', deployment.gateway, prompt)
    const keeper = engines.find(({ headers }) => headers.at(-1)?.['x-gullwall-prompt-parts'] !== undefined) ?? a
    await sleep(800)
    rest(60_000, keeper)
    const { id } = await send('/look-up/1', deployment.gateway, prompt)
    const sent = engines.flatMap(({ headers }) => headers).find((headers) => headers['x-gullwall-request-id'] === id)
    expect(sent).toBeDefined()
    expect(sent?.['x-gullwall-prefix-source']).toBeUndefined()
  })
})

describe('an endpoint that drains', () => {
  const drains = (how: (incoming: IncomingMessage, response: ServerResponse, body: string) => void): Behaviour => how
  const isUsable = (gateway: Kernel<GatewayServices>, { incarnation }: StubEndpoint) => gateway.get('view').acceptsRequests(incarnation)

  it.each([
    ['a success', drains((incoming, response, body) => {
      response.setHeader('x-gullwall-draining', '1')
      answerOk(incoming, response, body)
    })],
    ['a failure', drains((incoming, response) => {
      response.writeHead(500, headOf(incoming, { 'x-gullwall-draining': '1' }))
      response.end()
    })],
    ['a refusal', drains((incoming, response) => {
      response.writeHead(503, headOf(incoming, { 'x-gullwall-draining': '1', 'x-gullwall-ran': 'no' }))
      response.end()
    })],
    ['an answer to another request', drains((_incoming, response) => {
      response.writeHead(200, { 'x-gullwall-draining': '1', 'x-gullwall-request-id': 'another' })
      response.end()
    })],
    ['an interim answer', drains((incoming, response, body) => {
      response.writeEarlyHints({ link: '</x>', 'x-gullwall-draining': '1' })
      answerOk(incoming, response, body)
    })],
    ['an answer that breaks off', drains((incoming, response) => {
      response.writeHead(200, headOf(incoming, { 'x-gullwall-draining': '1', 'content-length': '100' }))
      response.write('a part')
      setTimeout(() => response.destroy(), 20)
    })]
  ])('says so in %s: it gets nothing more from any gateway', async (_kind, behaviour) => {
    const other = await deployment.startGateway('b2')
    rest(60_000, b, c)
    a.behaviour = behaviour
    await send('/order/1')
    expect(isUsable(deployment.gateway, a)).toBe(false)
    await until('the other gateway hears of it', () => !isUsable(other, a))
    await other.stop()
  })

  it('is told of again to a control process that takes it to be ready', async () => {
    const { control, gateway } = deployment
    // The word was lost with a link; the next word of control shows that.
    vi.spyOn(gateway.get('controlLinks'), 'reportDraining').mockImplementationOnce(() => {})
    const { incarnation, service, address, dataCentre } = a
    const description = { incarnation, service, address, dataCentre, slots: 4 }
    gateway.get('notices').apply(description, { status: 200, sentAt: performance.now(), notices: { isDraining: true, backoffMs: undefined } })
    const lease = control.get('leases').get(incarnation)
    expect(lease?.state).toBe('ready')
    if (lease !== undefined) control.get('registrar').publishChanges([lease])
    await until('control has heard', () => control.get('leases').get(incarnation)?.state === 'draining')
  })
})

describe('a gateway that is cut off from control', () => {
  it('hears both words all the same', async () => {
    isCutOff = true
    await deployment.control.stop()
    rest(60_000, c)
    a.behaviour = (incoming, response, body) => {
      response.setHeader('x-gullwall-draining', '1')
      answerOk(incoming, response, body)
    }
    b.behaviour = asksFor('30')
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
