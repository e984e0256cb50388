import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { HttpEndpoint } from '@gullwall/endpoint.http'

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'

let server: Server
let endpoint: HttpEndpoint
/** Ends the connection after the response, or a part of it, has been written. */
let respond: (socket: Socket) => void

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => respond(socket))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  endpoint = new HttpEndpoint('stub', `127.0.0.1:${(server.address() as AddressInfo).port}`)
})
afterEach(async () => {
  await endpoint.close()
  server.close()
})

/** Runs a request and returns the body, or the code of the error. */
async function run (headers: Record<string, string> = {}, method = 'GET'): Promise<string> {
  const chunks: Buffer[] = []
  try {
    await endpoint.run({ method, path: '/', headers, body: undefined, signal: new AbortController().signal }, {
      onHead: () => {},
      onData: (chunk) => { chunks.push(chunk); return undefined }
    })
    return Buffer.concat(chunks).toString()
  } catch (error) {
    return String((error as { code: unknown }).code)
  }
}

const reset = (text: string) => (socket: Socket) => { socket.write(text, () => setImmediate(() => socket.resetAndDestroy())) }

describe('a response of an endpoint', () => {
  it('without a length is not complete if its connection was reset', async () => {
    respond = reset(`${HEAD}\r\n{"half":`)
    expect(await run()).toBe('ERR_GULLWALL_ENDPOINT_FAILED')
  })

  // The HTTP client failed an assertion in the handler of the reset, which ended the process.
  it('fails if its connection is reset while it is paused for a slow reader', async () => {
    let pause: () => void = () => {}
    const paused = new Promise<void>((resolve) => { pause = resolve })
    respond = (socket) => {
      socket.write(`${HEAD}\r\npart`)
      void paused.then(() => socket.resetAndDestroy())
    }
    const call = { method: 'GET', path: '/', headers: {}, body: undefined, signal: new AbortController().signal }
    const running = endpoint.run(call, { onHead: () => {}, onData: () => { pause(); return new Promise<void>(() => {}) } })
    await expect(running).rejects.toMatchObject({ code: 'ERR_GULLWALL_ENDPOINT_FAILED' })
  })

  it('in chunks is not complete without its last chunk, however its connection ends', async () => {
    const part = `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n8\r\n{"half":\r\n`
    respond = reset(part)
    expect(await run()).toBe('ERR_GULLWALL_ENDPOINT_FAILED')
    respond = (socket) => { socket.end(part) }
    expect(await run()).toBe('ERR_GULLWALL_ENDPOINT_FAILED')
  })

  // It has no body, so that nothing marks its end, and its connection stays open.
  it('to HEAD is complete without a length', async () => {
    respond = (socket) => { socket.write(`${HEAD}\r\n`) }
    expect(await run({}, 'HEAD')).toBe('')
  })

  it('without a length is complete if its connection was closed in order', async () => {
    respond = (socket) => { socket.end(`${HEAD}\r\n{}`) }
    expect(await run()).toBe('{}')
  })
})

describe('a response that names another attempt', () => {
  it.each(['HTTP/1.1 503 No\r\n', 'HTTP/1.1 103 Early\r\n'])('(%s) is not taken for that of this one, and its notices are not read', async (status) => {
    const heads: number[] = []
    await endpoint.close()
    endpoint = new HttpEndpoint('stub', `127.0.0.1:${(server.address() as AddressInfo).port}`, ({ status: read }) => heads.push(read))
    respond = (socket) => { socket.write(`${status}x-gullwall-attempt-id: another\r\nx-gullwall-ran: no\r\ncontent-length: 0\r\n\r\n`) }
    expect(await run({ 'x-gullwall-attempt-id': 'this' })).toBe('ERR_GULLWALL_FOREIGN_RESPONSE')
    expect(heads).toEqual([])
  })

  it('is told from one that names this attempt, or none', async () => {
    for (const named of ['x-gullwall-attempt-id: this\r\n', '']) {
      respond = (socket) => { socket.end(`${HEAD}${named}content-length: 2\r\n\r\n{}`) }
      expect(await run({ 'x-gullwall-attempt-id': 'this' })).toBe('{}')
    }
  })
})

it('a connection that is refused ends the request, and the process goes on', async () => {
  await new Promise((resolve) => server.close(resolve))
  expect(await run()).toBe('ERR_GULLWALL_ENDPOINT_REFUSED')
  await expect(endpoint.probe()).rejects.toMatchObject({ cause: { code: 'ECONNREFUSED' } })
})

describe('a response without end', () => {
  const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`

  /** Writes the same bytes until the connection closes. */
  const endless = (begin: string, piece: string) => (socket: Socket) => {
    socket.write(begin)
    const timer = setInterval(() => { if (socket.writableLength === 0) socket.write(piece.repeat(20)) }, 1)
    socket.on('close', () => {
      clearInterval(timer)
      closedCount += 1
    })
  }
  let closedCount = 0

  beforeEach(() => { closedCount = 0 })

  it.each([
    ['status line', 'HTTP/1.1 200 ', 'x'.repeat(1000)],
    ['header lines', 'HTTP/1.1 200 OK\r\n', 'x-more: 1\r\n'],
    ['interim heads', '', 'HTTP/1.1 103 Early\r\n\r\n'],
    ['chunk extension', `${CHUNKED}4;`, 'x'.repeat(1000)],
    ['trailers', `${CHUNKED}0\r\n`, 'x-more: 1\r\n']
  ])('(%s) fails and closes the connection', async (_place, begin, piece) => {
    respond = endless(begin, piece)
    expect(await run()).toMatch(/^ERR_GULLWALL_EN/)
    await until('the connection to be closed', () => closedCount === 1)
  })

  it('fails if it is a report, and closes the connection', async () => {
    respond = endless(CHUNKED, `1000\r\n${'x'.repeat(0x1000)}\r\n`)
    await expect(endpoint.getJson('/load')).rejects.toMatchObject({ code: 'ERR_GULLWALL_ENDLESS_RESPONSE' })
    await until('the connection to be closed', () => closedCount === 1)
  })

  it('behind a report or a probe closes the connection', async () => {
    respond = endless(`${HEAD}content-length: 2\r\n\r\n{}`, '\r\n')
    expect(await endpoint.getJson('/load')).toEqual({})
    await until('the connection to be closed', () => closedCount === 1)
    respond = endless(`${HEAD}\r\n`, '\r\n')
    await endpoint.probe()
    await until('the connection to be closed', () => closedCount === 2)
  })
})
