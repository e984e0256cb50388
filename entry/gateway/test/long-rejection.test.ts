/** Guards against an assertion of the HTTP client that fails because a long rejection is given up in the callback for its data. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { type Pool } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { createPool } from '@gullwall/endpoint.http'
import { Exchange, type HeadDecision } from '../src/exchange.ts'
import { watchAssertions } from '../../../endpoint/http/test/failed-assertions.ts'

const BODY_BYTES = 70_000

let server: Server
let pool: Pool
const failedAssertions = watchAssertions()

afterEach(async () => {
  await pool.destroy()
  server.close()
})

it.each<['close' | 'keep-alive', HeadDecision]>([
  ['close', 'discard'], ['keep-alive', 'discard'], ['close', 'read'], ['keep-alive', 'read']
])('is closed once, and the next request is answered (connection: %s, body: %s)', async (connection, decision) => {
  server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => socket.write(
      `HTTP/1.1 503 Busy\r\nConnection: ${connection}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES)}`
    ))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const origin = `127.0.0.1:${(server.address() as AddressInfo).port}`
  pool = createPool(origin)
  const outcomes = []
  let endless = 0
  for (let sent = 0; sent < 3; sent += 1) {
    let bytes = 0
    const exchange: Exchange = new Exchange(pool, `http://${origin}`, {
      method: 'GET', path: '/', headers: [], body: undefined, connectMs: 2000, findRefusalReason: () => undefined, onSending: () => {}, wasClosedCleanly: async () => true
    }, {
      onInterim: () => {},
      onHead: () => decision,
      onEndless: () => { endless += 1 },
      onData: (chunk) => {
        bytes += chunk.length
        if (bytes === BODY_BYTES) exchange.abandon('given up')
      }
    })
    outcomes.push((await exchange.outcome).type)
    if (decision === 'discard') await until('the end of the body', () => endless === sent + 1)
  }
  expect(outcomes).toEqual(Array.from({ length: 3 }, () => decision === 'discard' ? 'complete' : 'broken'))
  expect(endless).toBe(decision === 'discard' ? 3 : 0)
  expect(failedAssertions).toEqual([])
})
