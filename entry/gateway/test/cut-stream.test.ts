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

/** The logged decisions on a request; the first `dispatch` and `finish` lines are sampled and may be missing. */
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
    expect(decisionsOf(brokenOff.id).at(-1)).toBe('fail')
  })

  it.each([
    ['in a field without a line end', 'data: 3'],
    ['behind a field', 'id: 3\n'],
    ['behind a field and a comment', 'id: 3\n: alive\n'],
    ['in a comment', ': ali'],
    ['in lines that end with a carriage return and a line feed', 'id: 3\r\nda']
  ])('is recognised %s', async (_where, part) => {
    answerWith(raw(events(1, 2) + part, { framing: 'connection' }), whole)
    expect(await call('/draft/1')).toMatchObject({ text: events(1, 4), isComplete: true })
  })

  it('is recognised however the media type is written', async () => {
    const cut: Behaviour = (incoming) => {
      const id = String(incoming.headers['x-gullwall-request-id'])
      const head = `HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\nx-gullwall-request-id: ${id}\r\n\r\n`
      incoming.socket.end(`${head}${events(1, 2)}id: 3\nda`)
    }
    answerWith(cut, whole)
    expect(await call('/draft/1')).toMatchObject({ text: events(1, 4), isComplete: true })
  })

  it('is recognised in a response with a last chunk', async () => {
    answerWith(raw(`${events(1, 2)}id: 3\nda`, { framing: 'chunks', hasLastChunk: true }), whole)
    expect(await call('/draft/1')).toMatchObject({ text: events(1, 4), isComplete: true })
  })

  it('is counted and logged as a failure, with the event at which it stopped', async () => {
    const counter = async () => await deployment.gateway.get('registry').metrics()
    answerWith(raw(`${events(1, 2)}id: 3\nda`, { framing: 'connection' }), whole)
    const { id } = await call('/scan/1')
    const end = deployment.logRecordsOf(id).at(-1)
    expect(end).toMatchObject({ decision: 'fail', framing: 'connection', incompleteBytes: 8 })
    expect(end?.['why']).toContain('ended inside the event after 2')
    expect(await counter()).toMatch(/gullwall_\w+\{route="scan",outcome="error-502"\} [1-9]/)
    expect(await counter()).not.toMatch(/\{route="scan",outcome="answered"\}/)
  })
})

describe('a stream that ends with its connection', () => {
  it.each([
    ['right behind an event', events(1, 2), events(1, 2)],
    ['with lines that end with a carriage return and a line feed', 'id: 1\r\ndata: 1\r\n\r\n', 'id: 1\r\ndata: 1\r\n\r\n'],
    ['with another blank line', `${events(1, 2)}\n`, `${events(1, 2)}\n`],
    ['with a comment', `${events(1, 2)}: end\n`, `${events(1, 2)}: end\n`],
    ['without an event', '', '']
  ])('is complete %s', async (_where, body, text) => {
    answerWith(raw(body, { framing: 'connection' }), whole)
    const reply = await call('/scan/1')
    expect(reply).toMatchObject({ status: 200, text, isComplete: true })
    expect(decisionsOf(reply.id)).not.toContain('fail')
    expect(decisionsOf(reply.id)).not.toContain('resume')
  })

  it('is complete without a further event if it was taken up behind its last one', async () => {
    const { id } = await call('/draft/1')
    answerWith(raw('', { framing: 'connection' }), whole)
    expect(await call('/draft/1', { 'last-event-id': '4', 'x-gullwall-resumes': id })).toMatchObject({ status: 200, text: '', isComplete: true })
  })

  it('is complete if it is declared as something else than events', async () => {
    const json: Behaviour = (incoming, response) => {
      response.useChunkedEncodingByDefault = false
      response.writeHead(200, { 'content-type': 'application/json', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
      response.end('{}')
    }
    answerWith(json, whole)
    expect(await call('/scan/1')).toMatchObject({ status: 200, text: '{}', isComplete: true })
  })
})

describe('a chunked stream without its last chunk', () => {
  it.each([
    ['behind an event', events(1, 2)],
    ['inside an event', `${events(1, 2)}id: 3\nda`]
  ])('is not taken for complete if its endpoint announced the close of the connection: %s', async (_where, body) => {
    answerWith(raw(body, { framing: 'chunks', headers: 'connection: close\r\n' }), whole)
    expect(await call('/draft/1')).toMatchObject({ text: events(1, 4), isComplete: true })
    answerWith(raw(body, { framing: 'chunks', headers: 'connection: close\r\n' }), whole)
    expect(await call('/scan/1')).toMatchObject({ text: events(1, 2), isComplete: false })
  })
})

describe('an attempt that resumes a stream', () => {
  it.each(['connection', 'chunks'] as const)(
    'is not taken for complete without an event if the stream had stopped inside one: framed by %s',
    async (framing) => {
      answerWith(raw(`${events(1, 2)}id: 3\nda`, { framing: 'connection' }), raw('', { framing, hasLastChunk: true }))
      const reply = await call('/draft/1')
      expect(reply).toMatchObject({ text: events(1, 2), isComplete: false })
      expect(decisionsOf(reply.id).slice(-3)).toEqual(['resume', 'dispatch', 'fail'])
    }
  )

  it('is complete without an event if the stream had stopped behind one', async () => {
    const reset: Behaviour = (incoming) => {
      const head = `HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${String(incoming.headers['x-gullwall-request-id'])}\r\n\r\n`
      incoming.socket.write(head + events(1, 4), () => setTimeout(() => incoming.socket.resetAndDestroy(), 20))
    }
    answerWith(reset, raw('', { framing: 'connection' }))
    expect(await call('/draft/1')).toMatchObject({ text: events(1, 4), isComplete: true })
  })
})
