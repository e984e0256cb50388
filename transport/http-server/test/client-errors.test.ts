import { once } from 'node:events'
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpServer, Koa } from '../src/index.ts'

const FIRST = 'POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab'
const IN_CHUNKS = 'POST /first HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
const HEADERS_TIMEOUT_MS = 40
const CHECK_INTERVAL_MS = 10
/** More than the buffers of a connection hold. */
const LARGE_BYTES = 16 * 1024 * 1024

const stops: Array<() => Promise<void>> = []

interface Served {
  socket: Socket
  /** The requests that the server has passed on, with their responses. */
  requests: Array<{ request: IncomingMessage, response: ServerResponse }>
  /** Resolves once a request has been passed on. */
  passedOn: () => Promise<void>
  /** Resolves with all that the server wrote, once it has closed the connection. */
  received: Promise<string>
}

/** Opens a connection to a server that leaves each response to the test, unless told how to respond. */
async function connectToServer (respond: (response: ServerResponse) => void = () => {}): Promise<Served> {
  const app = new Koa()
  const requests: Served['requests'] = []
  const http = new HttpServer(app)
  app.use((context) => {
    context.respond = false
    context.req.resume()
    requests.push({ request: context.req, response: context.res })
    respond(context.res)
    http.server.emit('passed-on')
  })
  http.server.headersTimeout = HEADERS_TIMEOUT_MS
  Object.assign(http.server, { connectionsCheckingInterval: CHECK_INTERVAL_MS })
  const [host, port] = (await http.listen('127.0.0.1:0')).split(':')
  const socket = connect(Number(port), host)
  await once(socket, 'connect')
  stops.push(async () => {
    socket.destroy()
    for (const { response } of requests) response.destroy()
    await http.close()
  })
  let text = ''
  socket.on('data', (chunk: Buffer) => { text += chunk.toString('latin1') })
  socket.on('error', () => {})
  const received = new Promise<string>((resolve) => socket.once('close', () => resolve(text)))
  return { socket, requests, received, passedOn: async () => { if (requests.length === 0) await once(http.server, 'passed-on') } }
}

describe('what a server responds by itself on a connection', () => {
  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop()
  })

  const behind = {
    'a malformed request': 'no request at all\r\n\r\n',
    'a head that never ends': 'GET /second HTTP/1.1\r\nHost:',
    'a head that is too large': `GET /second HTTP/1.1\r\nHost: a\r\nX-Large: ${'a'.repeat(20_000)}\r\n\r\n`
  }
  for (const [name, bytes] of Object.entries(behind)) {
    // A status that says "not run" behind a request that runs would be read as its response.
    it(`is nothing while a request runs, whatever follows it: ${name}`, async () => {
      const { socket, received, passedOn } = await connectToServer()
      socket.write(FIRST)
      await passedOn()
      socket.write(bytes)
      expect(await received).toBe('')
    })
  }

  it('is nothing where both requests arrive at once', async () => {
    const { socket, received, requests } = await connectToServer()
    socket.write(FIRST + behind['a malformed request'])
    expect(await received).toBe('')
    expect(requests.length).toBe(1)
  })

  it('is nothing where the caller ends its side within a second head', async () => {
    const { socket, received, passedOn } = await connectToServer()
    socket.write(FIRST)
    await passedOn()
    socket.end(behind['a head that never ends'])
    expect(await received).toBe('')
  })

  it('leaves a response whole that is still being sent when the malformed bytes come', async () => {
    const { socket, received, requests, passedOn } = await connectToServer((response) => {
      response.writeHead(200, { 'content-length': LARGE_BYTES }).end(Buffer.alloc(LARGE_BYTES, 'a'))
    })
    socket.pause()
    socket.write(FIRST)
    await passedOn()
    socket.write(behind['a malformed request'])
    const served = requests[0]?.request.socket
    while (served?.writableEnded === false && !served.destroyed) await setImmediate()
    socket.resume()
    expect(await received).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\na+$/)
    expect((await received).split('\r\n\r\n')[1]?.length).toBe(LARGE_BYTES)
  })

  // Bytes behind a whole response would be read as the response to the next request.
  it('is nothing where the rest of a body is malformed whose request was answered', async () => {
    const { socket, received, requests, passedOn } = await connectToServer()
    socket.write(IN_CHUNKS)
    await passedOn()
    requests[0]?.response.writeHead(401, { 'content-length': '0' }).end()
    await once(socket, 'data')
    socket.write('no chunk at all\r\n')
    expect((await received).match(/HTTP\/1\.1 \d+/g)).toEqual(['HTTP/1.1 401'])
  })

  it('shows an incomplete response of an HTTP/1.0 caller as incomplete', async () => {
    const { socket, requests, passedOn } = await connectToServer()
    const hasFailed = new Promise((resolve) => socket.once('close', resolve))
    socket.write('POST /first HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nab')
    await passedOn()
    requests[0]?.response.writeHead(200)
    requests[0]?.response.write('part')
    await once(socket, 'data')
    socket.write(behind['a malformed request'])
    expect(await hasFailed).toBe(true)
  })

  it('is 400 for a malformed request, 431 for a head that is too large, and nothing for one that is late, where no request runs', async () => {
    const malformed = await connectToServer()
    malformed.socket.write(behind['a malformed request'])
    expect(await malformed.received).toMatch(/^HTTP\/1\.1 400 /)
    const tooLarge = await connectToServer()
    tooLarge.socket.write(behind['a head that is too large'])
    expect(await tooLarge.received).toMatch(/^HTTP\/1\.1 431 /)
    const late = await connectToServer()
    late.socket.write(behind['a head that never ends'])
    expect(await late.received).toBe('')
  })
})
