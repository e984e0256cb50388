/** Guards against a stop that cuts off a response which is written but which its caller is still reading. */
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { Koa, HttpServer, ResponseTracker } from '../src/index.ts'

const KIB = 1024
const MIB = 1024 * KIB
const READ_INTERVAL_MS = 20

let server: Server
const sockets: Socket[] = []

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  server.closeAllConnections()
})

function open (port: number): Socket {
  const socket = connect({ host: '127.0.0.1', port })
  socket.on('error', () => {})
  sockets.push(socket)
  return socket
}

/** Sends one request and reads the response at a given speed; gives the bytes of the body that arrived until the connection ended. */
async function readSlowly (port: number, bytesPerSecond: number): Promise<number> {
  const socket = open(port)
  let head = ''
  let received = 0
  socket.on('data', (chunk: Buffer) => {
    if (head.endsWith('\r\n\r\n')) received += chunk.length
    else {
      const text = chunk.toString('latin1')
      const end = text.indexOf('\r\n\r\n') + 4
      head = text.slice(0, end)
      received = chunk.length - end
    }
    socket.pause()
    setTimeout(() => socket.resume(), 1000 * chunk.length / bytesPerSecond)
  })
  const ended = new Promise((resolve) => socket.once('close', resolve))
  socket.write('GET / HTTP/1.1\r\nhost: test\r\n\r\n')
  await ended
  return received
}

async function listen (created: Server): Promise<number> {
  server = created
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}

describe('a server that stops', () => {
  it.each([
    [KIB, true, 0.5], [12 * MIB, true, 8], [16 * MIB, true, 16], [16 * MIB, false, 16], [2 * MIB, false, 2]
  ])('sends a response of %s bytes whole (with a length: %s) to a caller that reads %s MiB/s', async (bytes, hasLength, speed) => {
    const created = createServer((_request, response) => {
      if (hasLength) response.setHeader('content-length', bytes)
      response.end(Buffer.alloc(bytes, 'x'))
    })
    const tracker = new ResponseTracker(created)
    const port = await listen(created)
    const received = readSlowly(port, speed * MIB)
    await sleep(100)
    await tracker.stop()
    // A response without a length comes in chunks, whose sizes are bytes as well.
    expect(await received).toBeGreaterThanOrEqual(bytes)
  })

  it('ends at once if all its connections are idle, and closes idle ones beside a response that is not written yet', async () => {
    let finish = () => {}
    const created = createServer((request, response) => {
      if (request.url === '/held') finish = () => response.end('done')
      else response.end('ok')
    })
    const tracker = new ResponseTracker(created)
    const port = await listen(created)
    const idle = open(port)
    idle.write('GET / HTTP/1.1\r\nhost: test\r\n\r\n')
    const held = open(port)
    held.write('GET /held HTTP/1.1\r\nhost: test\r\n\r\n')
    await sleep(10 * READ_INTERVAL_MS)
    idle.resume()
    held.resume()
    const idleClosed = new Promise((resolve) => idle.once('close', resolve))
    const stopped = tracker.stop()
    await idleClosed
    expect(held.destroyed).toBe(false)
    finish()
    await stopped
    const began = performance.now()
    await tracker.stop().catch(() => {})
    expect(performance.now() - began).toBeLessThan(10 * READ_INTERVAL_MS)
  })

  it('closes a response at the end of its time that its caller does not read', async () => {
    const created = createServer((_request, response) => response.end(Buffer.alloc(32 * MIB)))
    const tracker = new ResponseTracker(created)
    const port = await listen(created)
    const socket = open(port)
    socket.write('GET / HTTP/1.1\r\nhost: test\r\n\r\n')
    socket.pause()
    await sleep(100)
    const began = performance.now()
    await tracker.stop(began + 300)
    expect(performance.now() - began).toBeLessThan(600)
  })
})

it('the server of control and sidecars sends a response whole as well', async () => {
  const app = new Koa()
  app.use((context) => { context.body = Buffer.alloc(12 * MIB) })
  const http = new HttpServer(app)
  server = http.server
  await http.listen('127.0.0.1:0')
  const received = readSlowly((server.address() as AddressInfo).port, 8 * MIB)
  await sleep(100)
  await http.close()
  expect(await received).toBe(12 * MIB)
})
