import { spawnSync } from 'node:child_process'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

/** Long enough for a request to reach its endpoint, in ms. */
const SETTLE_MS = 300

const standIn = new StubEndpoint('i-only', 'app')
const deployment = new GatewayDeployment([standIn])

beforeAll(async () => {
  await deployment.start()
  await deployment.register(standIn)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

/** Sends a request from another process while the loop of this one is held; the caller has left when it goes on. */
function sendWhileHeld (id: string): void {
  const [host, port] = deployment.gateway.get('ingress').address.split(':')
  const head = `GET /look-up/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer secret\r\nX-Gullwall-Request-Id: ${id}\r\n\r\n`
  const script = `const head = ${JSON.stringify(head)}; const socket = require('net').connect(${port}, '${host}', () => { socket.end(head, () => socket.destroy()) })`
  spawnSync(process.execPath, ['-e', script], { timeout: 1000 })
}

it('a request whose caller left before this process came to it reaches no endpoint', async () => {
  sendWhileHeld('left')
  await sleep(SETTLE_MS)
  expect(standIn.requestIds).not.toContain('left')
})
