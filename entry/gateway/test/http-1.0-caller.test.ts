import { connect } from 'node:net'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const EVENT = 'id: 1\ndata: 1\n\n'
const endpoint = new StubEndpoint('i-only', 'app')
const deployment = new GatewayDeployment([endpoint])

beforeAll(async () => {
  await deployment.start()
  await deployment.register(endpoint)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

/** Sends a request with HTTP/1.0, whose responses end with their connection, and returns how the connection ended, and what came before. */
async function endOfCall (): Promise<{ end: 'closed' | 'reset', text: string }> {
  const [host, port] = deployment.gateway.get('ingress').address.split(':')
  return await new Promise((resolve) => {
    const socket = connect(Number(port), host)
    socket.write('GET /scan/1 HTTP/1.0\r\nHost: 127.0.0.1\r\nAuthorization: Bearer secret\r\nX-Gullwall-Request-Id: old-caller\r\n\r\n')
    let text = ''
    socket.on('data', (chunk) => { text += String(chunk) })
    socket.once('end', () => resolve({ end: 'closed', text }))
    socket.once('error', () => resolve({ end: 'reset', text }))
  })
}

it('a caller of HTTP/1.0 does not take a stream that was broken off for complete', async () => {
  endpoint.behaviour = (incoming, response) => {
    response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
    response.write(`${EVENT}id: 2\n`, () => setTimeout(() => response.destroy(), 20))
  }
  const brokenOff = await endOfCall()
  expect(brokenOff.text, deployment.logLines.join('\n')).toContain(' 200 ')
  expect(brokenOff.end).toBe('reset')
  endpoint.behaviour = (incoming, response) => {
    response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
    response.end(EVENT)
  }
  expect((await endOfCall()).end).toBe('closed')
})
