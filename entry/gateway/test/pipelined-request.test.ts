/** Guards against a response of the HTTP server itself (400, 408, 431) that a caller takes for the response to its running request. */
import { connect } from 'node:net'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { until } from '@gullwall/bench.deployment'
import { answerOk, createDocument, GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const HEADER_TIMEOUT_MS = 100
let release: Array<() => void> = []
const endpoint = new StubEndpoint('i-1', 'app', (incoming, response, body) => { release.push(() => answerOk(incoming, response, body)) })
const deployment = new GatewayDeployment([endpoint])
let ids = 0

beforeAll(async () => {
  await deployment.start()
  await deployment.register(endpoint)
  await deployment.configureWith(1, { ...createDocument(1), limits: { headerTimeoutMs: HEADER_TIMEOUT_MS } })
})
afterAll(async () => {
  for (const answer of release) answer()
  await deployment.stop()
})

it.each([
  ['is malformed', 'no request\r\n\r\n'],
  ['has a head that is late', 'POST /order/2 HTTP/1.1\r\nhost: 127.0.0.1\r\n'],
  ['has a head that is too large', `POST /order/2 HTTP/1.1\r\nhost: 127.0.0.1\r\nx-large: ${'a'.repeat(70_000)}\r\n\r\n`]
])('a request that runs gets no response of the HTTP server if the next request on its connection %s', async (_what, next) => {
  release = []
  const id = `request-${++ids}`
  const [host, port] = deployment.gateway.get('ingress').address.split(':')
  const socket = connect(Number(port), host)
  let text = ''
  socket.on('data', (chunk: Buffer) => { text += chunk.toString('latin1') })
  socket.on('error', () => {})
  const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()))
  const head = `POST /order/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer secret\r\nx-gullwall-request-id: ${id}\r\ncontent-length: 1\r\n\r\nx`
  socket.write(head)
  await until('the run', () => release.length === 1)
  socket.write(next)
  await closed
  expect(text).toBe('')
  expect(endpoint.requestIds.filter((run) => run === id)).toHaveLength(1)
})
