import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { type EndpointDescription } from '@gullwall/routing.balancer'
import { Connections } from '../src/connections.ts'
import { Exchange, type ExchangeOutcome } from '../src/exchange.ts'

const CONNECT_MS = 1000
const CONNECTIONS = 24
/** Long enough for the kernel to have delivered everything that was sent before, in ms. */
const BLOCKED_MS = 50

let server: Server
let sockets: Socket[]
let endpoint: EndpointDescription
let connections: Connections
let received: number

beforeEach(async () => {
  sockets = []
  received = 0
  server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      sockets.push(socket)
      socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\n\n')
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  endpoint = { incarnation: 'i-1', service: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, dataCentre: 'east', slots: 4 }
  connections = new Connections()
})
afterEach(async () => {
  await connections.stop()
  for (const socket of sockets) socket.destroy()
  server.close()
})

/** Sends a request whose response has no length, and returns how it ended. */
async function exchange (): Promise<ExchangeOutcome> {
  return await new Exchange(connections.dispatcherFor(endpoint, 2 * CONNECTIONS, 1), `http://${endpoint.address}`, {
    method: 'GET',
    path: '/',
    headers: [],
    body: undefined,
    connectMs: CONNECT_MS,
    findRefusalReason: () => undefined,
    onSending: () => {},
    wasClosedCleanly: async () => await connections.wasClosedCleanly()
  }, { onInterim: () => {}, onHead: () => 'read', onEndless: () => {}, onData: () => { received += 1 } }).outcome
}

/** Keeps this process from handling anything, as if it was suspended. */
function block (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}

describe('the end of a response without a length', () => {
  it('is told by its own connection if closed and reset ones end in one turn of the event loop', async () => {
    const outcomes = Array.from({ length: CONNECTIONS }, exchange)
    await until('all responses to have begun', () => sockets.length === CONNECTIONS && received === CONNECTIONS)
    const toReset = new Set(sockets.filter((_, index) => index % 2 === 0))
    for (const socket of sockets) {
      if (toReset.has(socket)) socket.resetAndDestroy()
      else socket.end()
    }
    block(BLOCKED_MS)
    const types = (await Promise.all(outcomes)).map(({ type }) => type)
    expect(types.filter((type) => type === 'complete')).toHaveLength(CONNECTIONS / 2)
    expect(types.filter((type) => type === 'broken')).toHaveLength(CONNECTIONS / 2)
  })

  it('is orderly if the process was suspended while its connection was closed', async () => {
    const outcome = exchange()
    await until('the response to have begun', () => received === 1)
    sockets[0]?.end('id: 2\n\n')
    block(BLOCKED_MS)
    expect(await outcome).toEqual({ type: 'complete' })
    expect(received).toBe(2)
  })

  it('is not orderly if the reset arrives together with the last data', async () => {
    const outcome = exchange()
    await until('the response to have begun', () => received === 1)
    const [socket] = sockets
    socket?.write('id: 2\n\n', () => socket.resetAndDestroy())
    block(BLOCKED_MS)
    expect((await outcome).type).toBe('broken')
  })

  it('is not judged by a connection that ended before', async () => {
    const before = exchange()
    await until('the response to have begun', () => received === 1)
    sockets[0]?.end()
    expect(await before).toEqual({ type: 'complete' })
    expect(await connections.wasClosedCleanly()).toBe(false)
  })
})
