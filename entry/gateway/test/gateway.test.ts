import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import { type ServerResponse } from 'node:http'
import { Client, request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { answerNotRun, answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const first = new StubEndpoint('i-first', 'app')
const second = new StubEndpoint('i-second', 'app')
const both = [first, second]
const deployment = new GatewayDeployment(both)

let ids = 0

interface Reply {
  id: string
  status: number
  headers: Record<string, unknown>
  text: string
}

async function call (path: string, options: { headers?: Record<string, string>, body?: string } = {}): Promise<Reply> {
  const id = `request-${++ids}`
  const reply = await request(deployment.url(path), {
    method: options.body === undefined ? 'GET' : 'POST',
    headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...options.headers },
    body: options.body
  })
  return { id, status: reply.statusCode, headers: reply.headers, text: await reply.body.text() }
}

function arrivals (id: string): number {
  return both.reduce((sum, stub) => sum + stub.requestIds.filter((arrived) => arrived === id).length, 0)
}

/** Sets the behaviour of the endpoint that receives the next request; all later requests are answered normally. */
function firstArrival (behaviour: Behaviour): void {
  let isFirst = true
  for (const stub of both) {
    stub.behaviour = (...args) => {
      const chosen = isFirst ? behaviour : answerOk
      isFirst = false
      chosen(...args)
    }
  }
}

const events = (from: number, to: number) => Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: ${from + index}\n\n`).join('')

const stream = (from: number, to: number): Behaviour => (incoming, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
  response.end(events(from, to))
}

beforeAll(async () => {
  await deployment.start()
  expect((await call('/look-up/1')).status).toBe(503)
  for (const stub of both) await deployment.register(stub)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())
beforeEach(() => { for (const stub of both) stub.behaviour = answerOk })

describe('a request through the gateway', () => {
  it('reaches the endpoint unchanged and names the incarnation, the organisation and the time that remains', async () => {
    const reply = await call('/order/5?x=%20y', { body: 'two wheels', headers: { 'x-gullwall-wait-ms': '900', 'x-other': 'Kept' } })
    expect(reply).toMatchObject({ status: 200, text: 'POST /order/5?x=%20y two wheels' })
    const stub = both.find(({ requestIds }) => requestIds.includes(reply.id))
    const headers = stub?.headers[stub.requestIds.indexOf(reply.id)] ?? {}
    expect(headers).toMatchObject({ 'x-gullwall-incarnation': stub?.incarnation, 'x-gullwall-organisation': 'workshop', 'x-other': 'Kept' })
    expect(headers['authorization']).toBeUndefined()
    expect(Number(headers['x-gullwall-wait-ms'])).toBeGreaterThan(500)
    expect(Number(headers['x-gullwall-wait-ms'])).toBeLessThan(900)
  })

  it('is refused without a route, and with an unknown key unless the route is public', async () => {
    expect((await call('/nowhere/1')).status).toBe(404)
    expect((await call('/look-up/1', { headers: { authorization: 'Bearer wrong' } })).status).toBe(401)
    expect((await call('/open/1', { headers: { authorization: 'Bearer wrong' } })).status).toBe(200)
  })

  it('is never run twice if it may run once only, and the log states why it failed', async () => {
    firstArrival((_incoming, response) => { response.destroy() })
    const reply = await call('/order/6', { body: 'one wheel' })
    expect(reply.status).toBe(502)
    expect(reply.headers['retry-after']).toBeUndefined()
    expect(arrivals(reply.id)).toBe(1)
    expect(JSON.parse(reply.text)).toMatchObject({ error: { ran: 'unknown', requestId: reply.id } })
    const story = deployment.logRecordsOf(reply.id)
    expect(story.map((record) => record['decision'])).toEqual(['dispatch', 'fail'])
    expect(story[1]?.['why']).toContain('502')
    expect(story[1]?.['endpoint']).toBe(story[0]?.['endpoint'])
  })

  it('is sent to another endpoint if it may be repeated', async () => {
    firstArrival((_incoming, response) => { response.destroy() })
    const reply = await call('/look-up/7')
    expect(reply.status).toBe(200)
    expect(arrivals(reply.id)).toBe(2)
    expect(deployment.logRecordsOf(reply.id).map((record) => record['decision'])).toContain('retry')
  })

  it('names an endpoint to copy the shared parts of its prompt from, once another entry has reported that they are cached there', async () => {
    const parts = [{ id: 'subject', tokens: 13_000 }]
    const works = [{
      incarnation: first.incarnation, unread: [{ urgency: 0, tokens: 90_000 }], running: 1, strain: 0, sensitive: 0, unreachable: 0
    }]
    const holdings = [{ incarnation: first.incarnation, parts }]
    const gateway = deployment.gateway
    gateway.get('loadExchange').receive({ kind: 'workSums', whole: false, peers: 0, works, holdings })
    await until('the parts to be cached', () => (
      (gateway.get('view').get(first.incarnation)?.prefixCache.copyableTokens(parts, performance.now()) ?? 0) > 0
    ))
    const reply = await call('/look-up/10', { headers: { 'x-gullwall-prompt-parts': 'subject:13000,own:3000' } })
    expect(reply.status).toBe(200)
    expect(second.headers[second.requestIds.indexOf(reply.id)]).toMatchObject({ 'x-gullwall-prefix-source': first.address })
    expect(deployment.logRecordsOf(reply.id)[0]).toMatchObject({ copiedTokens: 13_000, source: first.incarnation })
  })

  it('is refused at once, and never sent, if its prompt is larger than the memory of an engine', async () => {
    const reply = await call('/look-up/11', { headers: { 'x-gullwall-prompt-parts': 'subject:90000,own:10000' } })
    expect(reply.status).toBe(503)
    expect(reply.text).toContain('its prompt and a first token take 100001 tokens, and the memory of an engine holds 100000')
    expect(arrivals(reply.id)).toBe(0)
    expect(deployment.logRecordsOf(reply.id)[0]).toMatchObject({ decision: 'refuse' })
  })

  it('is refused with a retry-after header if no endpoint ran it and no attempt is left', async () => {
    for (const stub of both) {
      stub.behaviour = answerNotRun
    }
    const reply = await call('/order/8', { body: 'x' })
    expect(reply.status).toBe(503)
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0)
    expect(arrivals(reply.id)).toBeLessThanOrEqual(2)
  })

  it('is sent again if another process has the address of the endpoint, even if it may run once only', async () => {
    const ended = new StubEndpoint('i-ended', 'app', (incoming, response) => {
      response.writeHead(421, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']), 'x-gullwall-ran': 'no' }).end()
    })
    await ended.start()
    await deployment.register(ended)
    try {
      const replies = []
      for (let order = 0; order < 12; order++) replies.push(await call(`/order/${order}`, { body: 'x' }))
      expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 200))
      expect(ended.requestIds.length).toBe(1)
    } finally {
      await deployment.register(ended, 'draining', 2)
      ended.stop()
    }
  })

  it('is sent to no more endpoints than its route allows, and the failure is forwarded', async () => {
    for (const stub of both) {
      stub.behaviour = (incoming, response) => {
        response.writeHead(500, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) }).end('failed')
      }
    }
    const reply = await call('/look-up/11')
    expect(reply).toMatchObject({ status: 500, text: 'failed' })
    expect(arrivals(reply.id)).toBe(2)
  })

  it('does not receive the answer to another request', async () => {
    firstArrival((_incoming, response) => { response.writeHead(200, { 'x-gullwall-request-id': 'another' }).end('wrong') })
    const reply = await call('/look-up/9')
    expect(reply).toMatchObject({ status: 200, text: 'GET /look-up/9 ' })
  })

  it.each([
    ['without a length', '\r\n\r\nhalf an ans'],
    ['in chunks without the last one', '\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n']
  ])('does not receive a part of an answer whose connection was reset: %s', async (_what, rest) => {
    firstArrival((incoming) => {
      const head = `HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${String(incoming.headers['x-gullwall-request-id'])}`
      incoming.socket.write(head + rest, () => setImmediate(() => incoming.socket.resetAndDestroy()))
    })
    const reply = await call('/look-up/11')
    expect(reply).toMatchObject({ status: 200, text: 'GET /look-up/11 ' })
    expect(arrivals(reply.id)).toBe(2)
  })

  it('receives an answer that ends with its connection', async () => {
    firstArrival((incoming) => {
      const id = String(incoming.headers['x-gullwall-request-id'])
      incoming.socket.end(`HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${id}\r\n\r\na whole answer`)
    })
    const reply = await call('/order/12', { body: 'x' })
    expect(reply).toMatchObject({ status: 200, text: 'a whole answer' })
    expect(reply.headers['content-length']).toBe('14')
  })

  it('ends at its deadline, and the endpoint sees that the connection is closed', async () => {
    for (const stub of both) stub.behaviour = () => {}
    const before = first.disconnectCount + second.disconnectCount
    const startedAt = performance.now()
    const reply = await call('/order/10', { body: 'x', headers: { 'x-gullwall-wait-ms': '250' } })
    expect(reply.status).toBe(504)
    expect(performance.now() - startedAt).toBeLessThan(1200)
    await until('the endpoint to be disconnected', () => first.disconnectCount + second.disconnectCount > before)
  })
})

describe('a stream through the gateway', () => {
  it('is resumed at another endpoint after its last complete event', async () => {
    const answers: Behaviour = (incoming, response, body) => {
      const last = Number(incoming.headers['last-event-id'] ?? 0)
      if (last > 0) return stream(last + 1, 6)(incoming, response, body)
      response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']), 'x-run': 'first' })
      response.write(`${events(1, 3)}id: 4\nda`, () => setImmediate(() => response.destroy()))
    }
    for (const stub of both) stub.behaviour = answers
    const reply = await call('/draft/1', { body: 'x' })
    expect(reply).toMatchObject({ status: 200, text: events(1, 6) })
    expect(reply.headers['x-run']).toBe('first')
    expect(deployment.logRecordsOf(reply.id).map((record) => record['decision'])).toContain('resume')
  })

  it('is aborted, and does not end like a complete stream, if it may not be resumed', async () => {
    for (const stub of both) {
      stub.behaviour = (incoming, response) => {
        response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
        response.write(events(1, 2), () => setImmediate(() => response.destroy()))
      }
    }
    await expect(call('/scan/1', { body: 'x' })).rejects.toThrow()
    const { requestId } = JSON.parse(deployment.logLines.filter((line) => line.includes('"fail"')).at(-1) ?? '{}') as { requestId: string }
    expect(arrivals(requestId)).toBe(1)
  })

  it('is cancelled at the endpoint when its caller disconnects', async () => {
    for (const stub of both) {
      stub.behaviour = (incoming, response) => {
        response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
        response.write(events(1, 1))
      }
    }
    const before = first.disconnectCount + second.disconnectCount
    const reply = await request(deployment.url('/draft/2'), {
      method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': 'leaver' }, body: 'x'
    })
    reply.body.on('error', () => {})
    reply.body.once('data', () => reply.body.destroy())
    await until('the endpoint to be disconnected', () => first.disconnectCount + second.disconnectCount > before)
  })
})

describe('endpoints', () => {
  it('that drain receive no more requests, even if an older report arrives late', async () => {
    await deployment.register(second, 'draining', 5)
    await deployment.control.get('registrar').receiveHeartbeat({
      incarnation: second.incarnation, service: 'app', address: second.address, dataCentre: 'dc1', slots: 4, state: 'ready', sequence: 4, ageMs: 0
    })
    const before = second.requestIds.length
    for (let turn = 0; turn < 10; turn++) expect((await call(`/look-up/${turn}`)).status).toBe(200)
    expect(second.requestIds.length).toBe(before)
  })
})

describe('the statistics of a route', () => {
  it('are removed once the document no longer contains the route', async () => {
    const { reserved } = deployment.gateway.get('view')
    const before = reserved.routeCount
    for (const route of ['dropped-1', 'dropped-2']) reserved.recordRequest({ route }, 100)
    await deployment.configure(2)
    expect(reserved.routeCount).toBe(before)
  })
})

describe('a graceful stop', () => {
  it('completes the requests in flight and closes keep-alive connections with a connection header', async () => {
    let release: (() => void) | undefined
    first.behaviour = (incoming, response, body) => { release = () => answerOk(incoming, response, body) }
    const inFlight = call('/order/20', { body: 'slow' })
    await until('the request to arrive', () => release !== undefined)
    const ingress = deployment.gateway.get('ingress')
    const kept = new Client(deployment.url(''))
    let begun: ServerResponse | undefined
    first.behaviour = (incoming, response) => {
      response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
      response.write(events(1, 1))
      begun = response
    }
    const headers = { authorization: 'Bearer secret', 'x-gullwall-request-id': 'begun-before' }
    const streamed = await kept.request({ path: '/long/3', method: 'POST', headers, body: 'x' })
    first.behaviour = answerOk
    const stopped = ingress.stop()
    expect(ingress.isStopping).toBe(true)
    release?.()
    const reply = await inFlight
    expect(reply.status).toBe(200)
    expect(reply.headers['connection']).toBe('close')
    // The stream began before the stop, so its connection is still open, and the next request on it arrives after the stop.
    await until('the listener to be closed', async () => await call('/look-up/21').then(() => false, () => true))
    const before = first.requestIds.length
    const late = kept.request({ path: '/look-up/22', method: 'GET', headers: { ...headers, 'x-gullwall-request-id': 'late' } })
      .then((answer) => answer.statusCode, () => 'closed unread')
    begun?.end(events(2, 2))
    expect(await streamed.body.text()).toBe(events(1, 2))
    expect([503, 'closed unread']).toContain(await late)
    expect(first.requestIds.length).toBe(before)
    await kept.destroy()
    await stopped
  })
})
