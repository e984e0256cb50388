// Guards against an overloaded gateway that reads more than it can serve, and against one with free time that closes connections.
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { createGateway, type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { until } from '@gullwall/bench.deployment'
import { WINDOW_MS } from '../src/connection-shedder.ts'
import { START_UP_MS } from '../src/start-up.ts'
import { GatewayDeployment, inProcess } from './gateway-deployment.ts'

const CONNECTIONS = 40

const deployment = new GatewayDeployment([])
let gateway: Kernel<GatewayServices>
let utilization = 1

/** Opens connections on which nothing is sent; returns how many of them are closed within 300 ms. */
async function countClosed (): Promise<number> {
  const { address } = gateway.get('ingress')
  const [host = '', port = ''] = address.split(':')
  let closed = 0
  const sockets = Array.from({ length: CONNECTIONS }, () => connect(Number(port), host).on('error', () => {}).on('close', () => { closed += 1 }))
  await sleep(300)
  const counted = closed
  for (const socket of sockets) socket.destroy()
  return counted
}

beforeAll(async () => {
  await deployment.start()
  gateway = createGateway({ ...deployment.gateway.get('settings'), box: 'busy' }, { ...inProcess(() => {}), measureUtilization: () => utilization })
  await gateway.start()
})
afterAll(async () => {
  await gateway.stop()
  await deployment.stop()
}, 30_000)

it('closes a share of the new connections unread while it has no pause, and none once it has time again', async () => {
  const { shedder } = gateway.get('ingress')
  await sleep(START_UP_MS + WINDOW_MS)
  await until('the largest share', () => shedder.share > 0.8)
  const closed = await countClosed()
  expect(closed).toBeGreaterThan(CONNECTIONS / 2)
  expect(closed).toBeLessThan(CONNECTIONS)
  expect(shedder.closedCount).toBe(closed)
  utilization = 0
  await until('no share', () => shedder.share === 0)
  expect(await countClosed()).toBe(0)
}, 30_000)
