import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const endpoints = [new StubEndpoint('i-first', 'app'), new StubEndpoint('i-second', 'app')]
const deployment = new GatewayDeployment(endpoints)
let ids = 0

interface Reply {
  id: string
  status: number
  text: string
  /** Whether the response ended as a complete one. */
  isComplete: boolean
}

async function call (path: string, headers: Record<string, string> = {}): Promise<Reply> {
  const id = `cut-${++ids}`
  const reply = await request(deployment.url(path), {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...headers }, body: 'x'
  })
  const chunks: Buffer[] = []
  let isComplete = true
  try {
    for await (const chunk of reply.body as AsyncIterable<Buffer>) chunks.push(chunk)
  } catch {
    isComplete = false
  }
  return { id, status: reply.statusCode, text: Buffer.concat(chunks).toString(), isComplete }
}

const events = (from: number, to: number) => Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: ${from + index}\n\n`).join('')

/** How a raw response is framed and ended. */
interface RawEnd {
  framing: 'connection' | 'chunks'
  /** Sends the last chunk, for a response in chunks. */
  hasLastChunk?: boolean
  headers?: string
}

/** Answers with raw bytes, and closes the connection in order. */
const raw = (body: string, { framing, hasLastChunk = false, headers = '' }: RawEnd): Behaviour => (incoming) => {
  const id = String(incoming.headers['x-gullwall-request-id'])
  const head = `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-gullwall-request-id: ${id}\r\n${headers}`
  const chunk = body === '' ? '' : `${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n`
  incoming.socket.end(framing === 'connection'
    ? `${head}\r\n${body}`
    : `${head}transfer-encoding: chunked\r\n\r\n${chunk}${hasLastChunk ? '0\r\n\r\n' : ''}`)
}

/** Answers the first attempt with one behaviour, and every later one with another. */
function answerWith (first: Behaviour, later: Behaviour): void {
  let count = 0
  for (const endpoint of endpoints) {
    endpoint.behaviour = (...args) => {
      count += 1
      if (count === 1) first(...args)
      else later(...args)
    }
  }
}

const decisionsOf = (id: string) => deployment.logRecordsOf(id).map((record) => record['decision'])
const whole: Behaviour = (incoming, response, body) => {
  const last = Number(incoming.headers['last-event-id'] ?? 0)
  raw(events(last + 1, 4), { framing: 'chunks', hasLastChunk: true })(incoming, response, body)
}

beforeAll(async () => {
  await deployment.start()
  for (const endpoint of endpoints) await deployment.register(endpoint)
  await deployment.configure(1)
  await deployment.awaitRetryBudget()
})
afterAll(async () => await deployment.stop())
beforeEach(() => { answerWith(whole, whole) })

describe('a stream that ends inside an event', () => {
  it('without a length is not taken for complete: it is resumed elsewhere, or its caller sees that it broke off', async () => {
    const cut = raw(`${events(1, 2)}id: 3\nda`, { framing: 'connection' })
    answerWith(cut, whole)
    const resumed = await call('/draft/1')
    expect(resumed).toMatchObject({ status: 200, text: events(1, 4), isComplete: true })
    answerWith(cut, whole)
    const brokenOff = await call('/scan/1')
    expect(brokenOff).toMatchObject({ text: events(1, 2), isComplete: false })
    expect(decisionsOf(brokenOff.id)).toEqual(['dispatch', 'fail'])
  })
})
