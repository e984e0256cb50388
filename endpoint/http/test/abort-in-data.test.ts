/** Guards against an assertion of the HTTP client that fails because a response was given up in the callback for its last data. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { type Pool } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { createPool, EndlessResponseError, exchange } from '@gullwall/endpoint.http'
import { watchAssertions } from './failed-assertions.ts'

const MAX_BODY_BYTES = 64 * 1024
const BODY_BYTES = 70_000

let server: Server
let pool: Pool
const failedAssertions = watchAssertions()

afterEach(async () => {
  await pool.destroy()
  server.close()
})

/** Exchanges one request with a server that answers with a long body at once; gives the error. */
async function receiveLongBody (connection: 'close' | 'keep-alive', onData: (bytes: number) => void, signal: AbortSignal, maxBodyBytes = Infinity) {
  server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => socket.write(
      `HTTP/1.1 200 OK\r\nConnection: ${connection}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES)}`
    ))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  pool = createPool(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  let bytes = 0
  const receiver = {
    onHead: () => {},
    onData: (chunk: Buffer) => {
      bytes += chunk.length
      onData(bytes)
      return undefined
    }
  }
  const error = await exchange(pool, { method: 'GET', path: '/', headers: {}, body: undefined }, receiver, signal, { maxBodyBytes })
    .then(() => undefined, (thrown: Error) => thrown)
  await new Promise((resolve) => setImmediate(resolve))
  return error
}

it.each(['close', 'keep-alive'] as const)('a body beyond its limit ends as such (connection: %s)', async (connection) => {
  const error = await receiveLongBody(connection, () => {}, new AbortController().signal, MAX_BODY_BYTES)
  expect(error).toBeInstanceOf(EndlessResponseError)
  expect(failedAssertions).toEqual([])
})

it.each(['close', 'keep-alive'] as const)('a response that its receiver gives up ends with the reason (connection: %s)', async (connection) => {
  const abort = new AbortController()
  const reason = new Error('the caller has gone')
  const error = await receiveLongBody(connection, (bytes) => { if (bytes === BODY_BYTES) abort.abort(reason) }, abort.signal)
  expect(error).toBe(reason)
  expect(failedAssertions).toEqual([])
})
