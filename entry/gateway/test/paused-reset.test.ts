/** Guards against a process that ends because the connection of a response ends while that response is paused for a slow caller. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { setTimeout as sleep } from 'node:timers/promises'
import { until } from '@gullwall/bench.deployment'
import { Connections } from '../src/connections.ts'
import { Exchange } from '../src/exchange.ts'

const CONNECT_MS = 1000
/** Time for bytes to arrive over loopback, in ms. */
const ARRIVAL_MS = 100

let server: Server
let socket: Socket | undefined
let connections: Connections
let head = ''

beforeEach(async () => {
  connections = new Connections()
  server = createServer((accepted) => {
    accepted.on('error', () => {})
    accepted.once('data', () => {
      socket = accepted
      accepted.write(head)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
})
afterEach(async () => {
  socket?.destroy()
  server.close()
  await connections.stop()
})

/** Sends a request, and pauses its response at each part of the body. */
function exchangeWith (onData: (text: string) => void): Exchange {
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const dispatcher = connections.dispatcherFor({ incarnation: 'i-1', service: 's', address, dataCentre: 'dc1', slots: 1 }, 10, 1)
  const exchange: Exchange = new Exchange(dispatcher, `http://${address}`, {
    method: 'GET',
    path: '/',
    headers: [],
    body: undefined,
    connectMs: CONNECT_MS,
    findRefusalReason: () => undefined,
    onSending: () => {},
    wasClosedCleanly: async () => await connections.wasClosedCleanly()
  }, {
    onInterim: () => {},
    onHead: () => 'read',
    onData: (chunk) => {
      // The HTTP client begins to read on with an empty part.
      if (chunk.length > 0) exchange.pause('caller')
      onData(chunk.toString())
    },
    onEndless: () => {}
  })
  return exchange
}

it.each([
  ['without a length', ''],
  ['with a length, on a connection that closes', 'content-length: 1000\r\nconnection: close\r\n'],
  ['in chunks, on a connection that closes', 'transfer-encoding: chunked\r\nconnection: close\r\n'],
  ['with a length, on a connection that is kept', 'content-length: 1000\r\n']
])('a paused response %s is broken if its connection is reset', async (_what, framing) => {
  head = `HTTP/1.1 200 OK\r\n${framing}\r\n3\r\nabc\r\n`
  let isPaused = false
  const exchange = exchangeWith(() => { isPaused = true })
  await until('the response to be paused', () => isPaused)
  socket?.resetAndDestroy()
  expect((await exchange.outcome).type).toBe('broken')
})

it('a response without a length that is paused again at its last byte is complete once its connection has been closed', async () => {
  head = 'HTTP/1.1 200 OK\r\n\r\nthe first part'
  let received = ''
  const exchange = exchangeWith((text) => { received += text })
  await until('the first part', () => received !== '')
  await new Promise<void>((resolve) => socket?.end('the last part', resolve))
  // The last part and the end of the connection are read together only if both have arrived.
  await sleep(ARRIVAL_MS)
  exchange.resume('caller')
  expect(await exchange.outcome).toEqual({ type: 'complete' })
  expect(received).toBe('the first partthe last part')
})

it('a response that is paused for two owners is read on only once both have resumed it', async () => {
  head = 'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nabc'
  let received = ''
  const exchange = exchangeWith((text) => { received += text })
  await until('the first part', () => received === 'abc')
  exchange.pause('memory')
  socket?.write('def')
  exchange.resume('memory')
  await sleep(ARRIVAL_MS)
  expect(received).toBe('abc')
  exchange.resume('caller')
  await until('the last part', () => received === 'abcdef')
  exchange.resume('caller')
  expect(await exchange.outcome).toEqual({ type: 'complete' })
})
