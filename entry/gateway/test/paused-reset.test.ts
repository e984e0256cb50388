/** Guards against a process that ends because a response that is paused for a slow caller is reset by its endpoint. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { Connections } from '../src/connections.ts'
import { Exchange } from '../src/exchange.ts'

const CONNECT_MS = 1000

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

it.each([
  ['without a length', ''],
  ['with a length, on a connection that closes', 'content-length: 1000\r\nconnection: close\r\n'],
  ['in chunks, on a connection that closes', 'transfer-encoding: chunked\r\nconnection: close\r\n'],
  ['with a length, on a connection that is kept', 'content-length: 1000\r\n']
])('a paused response %s is broken if its connection is reset', async (_what, framing) => {
  head = `HTTP/1.1 200 OK\r\n${framing}\r\n3\r\nabc\r\n`
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  let isPaused = false
  const exchange: Exchange = new Exchange(
    connections.dispatcherFor({ incarnation: 'i-1', service: 's', address, dataCentre: 'dc1', slots: 1 }, 10, 1), `http://${address}`, {
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      connectMs: CONNECT_MS,
      findRefusalReason: () => undefined,
      onSending: () => {},
      wasClosedCleanly: async () => await connections.wasClosedCleanly()
    }, { onInterim: () => {}, onHead: () => 'read', onData: () => { exchange.pause(); isPaused = true }, onEndless: () => {} }
  )
  await until('the response to be paused', () => isPaused)
  socket?.resetAndDestroy()
  expect((await exchange.outcome).type).toBe('broken')
})
