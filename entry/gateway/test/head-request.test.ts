/** Guards against a response to HEAD that counts as broken off because nothing marks the end of a body that it does not have. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import { request } from 'undici'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const endpoint = new StubEndpoint('i-1', 'app', (incoming) => {
  incoming.socket.write(`HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${String(incoming.headers['x-gullwall-request-id'])}\r\n\r\n`)
})
const deployment = new GatewayDeployment([endpoint])

beforeAll(async () => {
  await deployment.start()
  await deployment.register(endpoint)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

it.each(['/order/1', '/look-up/1'])('a response to HEAD without a length is complete (%s)', async (path) => {
  const headers = { authorization: 'Bearer secret', 'x-gullwall-request-id': `request${path}` }
  const { statusCode, body } = await request(deployment.url(path), { method: 'HEAD', headers })
  await body.dump()
  expect(statusCode, deployment.logLines.join('\n')).toBe(200)
  expect(endpoint.requestIds.filter((id) => id === `request${path}`)).toHaveLength(1)
})
