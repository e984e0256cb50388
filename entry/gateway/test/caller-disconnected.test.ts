import { spawnSync } from 'node:child_process'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

/** Time in which a request would reach its endpoint, in ms. */
const SETTLE_MS = 300

const endpoint = new StubEndpoint('i-only', 'app')
const deployment = new GatewayDeployment([endpoint])

beforeAll(async () => {
  await deployment.start()
  await deployment.register(endpoint)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

/** Sends a request from another process while the event loop of this one is blocked; the caller disconnects before the loop continues. */
function sendWhileBlocked (id: string): void {
  const [host, port] = deployment.gateway.get('ingress').address.split(':')
  const head = `GET /look-up/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer secret\r\nX-Gullwall-Request-Id: ${id}\r\n\r\n`
  const script = `const head = ${JSON.stringify(head)}; const socket = require('net').connect(${port}, '${host}', () => { socket.end(head, () => socket.destroy()) })`
  spawnSync(process.execPath, ['-e', script], { timeout: 1000 })
}

it('a request whose caller disconnected before this process read the request is not sent to any endpoint', async () => {
  sendWhileBlocked('disconnected')
  await sleep(SETTLE_MS)
  expect(endpoint.requestIds).not.toContain('disconnected')
})
