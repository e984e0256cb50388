/** Guards against an endpoint that writes bytes without end, which holds the request, its connection and the memory of the process. */
import { type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { createDocument, GatewayDeployment } from './gateway-deployment.ts'
import { flood, floodedSockets, RawEndpoint, wholeResponse, type RawAnswer } from './endless-endpoint.ts'

/** What an endpoint writes first, given the id of the request, and then without end. */
interface Endless {
  name: string
  begin: (id: string) => string
  piece: string
  path: string
  /** The status that the caller gets. */
  status: number
  /** Time within which the caller has its response, in ms. */
  withinMs: number
  /** The place by which it is counted. */
  place: string
}

const OWN = (id: string) => `x-gullwall-request-id: ${id}\r\n`
const CHUNKED = (id: string) => `HTTP/1.1 200 OK\r\n${OWN(id)}transfer-encoding: chunked\r\n\r\n`
const FRAME = `4000\r\n${'x'.repeat(0x4000)}\r\n`
/** The timeout of the routes, in ms. No attempt is moved because it is slow before it has passed. */
const TIMEOUT_MS = 4000
/** Time for an endless response to be recognised, in ms: its bytes come at 3 MB/s, and other tests run beside this one. */
const SOON_MS = TIMEOUT_MS / 2
/** Longer than the body of a rejection may take, in ms. */
const DISCARD_MS = 200
/** The timeout, and some time to act on it, in ms. */
const DEADLINE_MS = TIMEOUT_MS + 1000

const CASES: Endless[] = [
  { name: 'a status line', begin: () => 'HTTP/1.1 200 ', piece: 'x'.repeat(1000), path: '/order/1', status: 502, withinMs: SOON_MS, place: 'head' },
  { name: 'header lines', begin: (id) => `HTTP/1.1 200 OK\r\n${OWN(id)}`, piece: 'x-more: 1\r\n', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'head' },
  { name: 'interim heads', begin: () => '', piece: 'HTTP/1.1 103 Early\r\n\r\n', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'interim' },
  { name: 'blank lines before a head', begin: () => '', piece: '\r\n', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'head' },
  { name: 'chunks', begin: CHUNKED, piece: FRAME, path: '/order/1', status: 504, withinMs: DEADLINE_MS, place: '' },
  { name: 'a chunk extension', begin: (id) => `${CHUNKED(id)}4;`, piece: 'x', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'framing' },
  { name: 'zeros in the size of a chunk', begin: CHUNKED, piece: '0', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'framing' },
  { name: 'trailers', begin: (id) => `${CHUNKED(id)}0\r\n`, piece: 'x-more: 1\r\n', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'framing' },
  { name: 'a body without a length', begin: (id) => `HTTP/1.1 200 OK\r\n${OWN(id)}\r\n`, piece: 'x', path: '/order/1', status: 504, withinMs: DEADLINE_MS, place: '' },
  { name: 'a body with a length beyond the bound', begin: (id) => `HTTP/1.1 200 OK\r\n${OWN(id)}content-length: 99999999999\r\n\r\n`, piece: 'x', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'body' },
  { name: 'one event', begin: (id) => `${CHUNKED(id)}`, piece: FRAME, path: '/scan/1', status: 502, withinMs: SOON_MS, place: 'event' },
  { name: 'bytes behind a whole response', begin: (id) => wholeResponse(id), piece: 'x', path: '/order/1', status: 200, withinMs: SOON_MS, place: 'idle' },
  { name: 'blank lines behind a whole response', begin: (id) => wholeResponse(id), piece: '\r\n', path: '/order/1', status: 200, withinMs: SOON_MS, place: 'idle' },
  { name: 'responses behind a whole response', begin: (id) => wholeResponse(id), piece: wholeResponse('other'), path: '/order/1', status: 200, withinMs: SOON_MS, place: 'idle' },
  { name: 'the body of a rejection', begin: (id) => `HTTP/1.1 503 No\r\n${OWN(id)}x-gullwall-ran: no\r\ntransfer-encoding: chunked\r\n\r\n`, piece: FRAME, path: '/order/1', status: 503, withinMs: SOON_MS, place: 'rejection' },
  { name: 'the body of a rejection without a length', begin: (id) => `HTTP/1.1 429 No\r\n${OWN(id)}x-gullwall-ran: no\r\n\r\n`, piece: 'x', path: '/scan/1', status: 503, withinMs: SOON_MS, place: 'rejection' },
  { name: 'the body of an unproven rejection', begin: (id) => `HTTP/1.1 503 No\r\n${OWN(id)}\r\n`, piece: 'x', path: '/order/1', status: 502, withinMs: SOON_MS, place: 'rejection' }
]

const attempts = new Map<string, number>()
const endpoints = ['i-1', 'i-2'].map((incarnation) => new RawEndpoint(incarnation, () => {}, attempts))
const deployment = new GatewayDeployment(endpoints, undefined, { retryRatio: 1, retryWindowMs: 1000, retrySlack: 5000 })
let ids = 0

beforeAll(async () => {
  await deployment.start()
  for (const endpoint of endpoints) await deployment.register(endpoint)
  await deployment.configureWith(1, createSlowDocument())
  await deployment.awaitRetryBudget()
})
afterEach(async () => await until('the endless connections to be closed', () => floodedSockets.size === 0))
afterAll(async () => await deployment.stop())

function createSlowDocument (): object {
  const document = createDocument(1) as { routes: object[] }
  const routes = document.routes.map((route) => ({ ...route, timeoutMs: TIMEOUT_MS, targetMs: TIMEOUT_MS }))
  return { ...document, routes }
}

function answerAll (answer: RawAnswer): void {
  for (const endpoint of endpoints) endpoint.answer = answer
}

const openSockets = () => endpoints.flatMap(({ sockets }) => [...sockets])

async function send (path: string): Promise<{ id: string, status: number, text: string, tookMs: number }> {
  const id = `request-${++ids}`
  const startedAt = performance.now()
  const reply = await request(deployment.url(path), { method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body: 'x' })
  const text = await reply.body.text()
  return { id, status: reply.statusCode, text, tookMs: performance.now() - startedAt }
}

const answerWith = ({ begin, piece }: Endless): RawAnswer => (socket, { id }) => {
  socket.write(begin(id))
  flood(socket, piece)
}

const inFlightCount = () => deployment.gateway.get('view').usable('app').reduce((sum, { inFlightRequests }) => sum + inFlightRequests.size, 0)

async function countOf (place: string): Promise<number> {
  const text = await deployment.gateway.get('registry').metrics()
  return Number(new RegExp(`gullwall_endless_responses_total\\{.*place="${place}".*\\} (\\d+)`).exec(text)?.[1] ?? 0)
}

/** The most processor time, in ms, that one turn of the event loop took while something ran. Wall time would include other processes. */
async function longestTurnMs (run: () => Promise<unknown>): Promise<number> {
  let last = process.cpuUsage()
  let longestMs = 0
  const timer = setInterval(() => {
    const { user, system } = process.cpuUsage(last)
    longestMs = Math.max(longestMs, (user + system) / 1000)
    last = process.cpuUsage()
  }, 1)
  await run()
  clearInterval(timer)
  return longestMs
}

it('one event without end does not block the process', async () => {
  answerAll((socket, { id }) => {
    socket.write(CHUNKED(id))
    flood(socket, FRAME, 30_000_000)
  })
  const turnMs = await longestTurnMs(async () => await Promise.all(Array.from({ length: 10 }, async () => await send('/scan/6'))))
  expect(turnMs).toBeLessThan(300)
})

describe.each(CASES)('$name without end', (endless) => {
  it('leaves the caller with a response in time, the connection closed and the endpoint free', async () => {
    answerAll(answerWith(endless))
    const before = await countOf(endless.place)
    const reply = await send(endless.path)
    expect(reply.status).toBe(endless.status)
    expect(reply.tookMs).toBeLessThan(endless.withinMs)
    if (reply.status === 200) expect(reply.text).toBe('done')
    await until('the connection to be closed', () => floodedSockets.size === 0)
    expect(inFlightCount()).toBe(0)
    if (endless.place !== '') await until('the response to be counted', async () => await countOf(endless.place) > before)
    answerAll((socket, { id }) => { socket.write(wholeResponse(id)) })
    expect(await send('/order/2')).toMatchObject({ status: 200, text: 'done' })
  })

  it.runIf(endless.withinMs === SOON_MS && endless.status !== 200)('leaves a repeatable request time for another attempt', async () => {
    answerAll((socket, raw) => {
      if (raw.attempt === 1) answerWith(endless)(socket, raw)
      else socket.write(wholeResponse(raw.id, 'id: 1\n\n'))
    })
    const reply = await send(endless.path === '/scan/1' ? '/draft/1' : '/look-up/1')
    expect(reply).toMatchObject({ status: 200, text: 'id: 1\n\n' })
    expect(reply.tookMs).toBeLessThan(SOON_MS)
  })
})

it('a body without end is broken off as soon as it passes the bound', async () => {
  answerAll((socket, { id }) => {
    socket.write(`HTTP/1.1 200 OK\r\n${OWN(id)}\r\n`)
    flood(socket, 'x'.repeat(0x10000), 1_000_000_000)
  })
  const before = await countOf('body')
  expect((await send('/order/7')).status).toBe(502)
  expect(await countOf('body')).toBeGreaterThan(before)
})

it('a head that comes slowly and without end is broken off', async () => {
  answerAll((socket) => {
    socket.write('HTTP/1.1 200 ')
    flood(socket, 'x', 200)
  })
  expect((await send('/order/8')).status).toBe(502)
})

describe('bytes on a connection at rest', () => {
  it.each(['\r\n', 'x', wholeResponse('other')])('close it at once, and the next request gets its own response (%j)', async (piece) => {
    answerAll((socket, { id }) => { socket.write(wholeResponse(id)) })
    expect(await send('/order/3')).toMatchObject({ status: 200, text: 'done' })
    const [socket] = openSockets().filter(({ bytesWritten }) => bytesWritten > 0)
    if (socket === undefined) throw new Error('no connection is kept')
    await sleep(20)
    socket.write(piece)
    await until('the connection to be closed', () => !openSockets().includes(socket))
    expect(await send('/order/3')).toMatchObject({ status: 200, text: 'done' })
  })
})

describe('a sound response', () => {
  it('that is large is not cut', async () => {
    const body = 'x'.repeat(8 * 1024 * 1024)
    answerAll((socket, { id }) => { socket.write(wholeResponse(id, body)) })
    expect((await send('/order/4')).text).toHaveLength(body.length)
    answerAll((socket, { id }) => {
      socket.write(CHUNKED(id))
      for (let sent = 0; sent < body.length; sent += 0x4000) socket.write(FRAME)
      socket.write('0\r\n\r\n')
    })
    expect((await send('/order/4')).text).toHaveLength(body.length)
  })

  it('of many small chunks, which need more bytes than their content, is not cut', async () => {
    const count = 100_000
    answerAll((socket, { id }) => { socket.write(`${CHUNKED(id)}${'1\r\nx\r\n'.repeat(count)}0\r\n\r\n`) })
    expect((await send('/order/4')).text).toHaveLength(count)
  })

  it('with many events or large ones is not cut', async () => {
    const events = ['id: 1\ndata: ', 'x'.repeat(900 * 1024), '\n\n'].join('').concat('id: 2\ndata: y\n\n'.repeat(200_000))
    answerAll((socket, { id }) => { socket.write(wholeResponse(id, events)) })
    expect((await send('/scan/4')).text).toHaveLength(events.length)
  })

  it('behind some interim heads is not cut', async () => {
    answerAll((socket, { id }) => { socket.write(`HTTP/1.1 103 Early\r\n${OWN(id)}\r\n`.repeat(8) + wholeResponse(id)) })
    expect(await send('/order/4')).toMatchObject({ status: 200, text: 'done' })
  })

  it('that rejects the request leaves its connection open, also with a body', async () => {
    const rejecting: Socket[] = []
    answerAll((socket, { id, attempt }) => {
      if (attempt === 1) rejecting.push(socket)
      socket.write(attempt === 1 ? `HTTP/1.1 503 No\r\n${OWN(id)}x-gullwall-ran: no\r\ncontent-length: 6\r\n\r\nreject` : wholeResponse(id))
    })
    expect(await send('/order/5')).toMatchObject({ status: 200, text: 'done' })
    await sleep(DISCARD_MS)
    expect(openSockets()).toEqual(expect.arrayContaining(rejecting))
  })
})
