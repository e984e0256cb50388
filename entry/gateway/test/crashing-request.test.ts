// Guards against a request that crashes every engine that runs it. Its caller retries it under new ids at all gateways; gateways that
// do not recognise it send it to one engine after the other, and the streams beside it are lost.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { until } from '@gullwall/bench.deployment'
import { CrashingEngines } from './crashing-engines.ts'
import { GatewayDeployment } from './gateway-deployment.ts'

const ENGINES = 6
const ARRIVALS = 16
/** Time between two arrivals of the request, in ms. */
const PAUSE_MS = 150
/** Number of crashes after which a request is quarantined. */
const QUARANTINED_AFTER = 3
/** Number of further crashes that attempts in flight may cause by then. */
const MAX_IN_FLIGHT = 3

const CRASHING_BODY = 'a body that crashes every engine'

const deployment = new GatewayDeployment([])
const engines = new CrashingEngines(deployment, { crashes: (body) => body === CRASHING_BODY })
let gateways: Array<Kernel<GatewayServices>> = []
let ids = 0

async function send (gateway: Kernel<GatewayServices> | undefined, body: string): Promise<{ id: string, status: number, text: string }> {
  const id = `request-${++ids}`
  const reply = await request(`http://${gateway?.get('ingress').address}/look-up/sheet`, {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body
  })
  return { id, status: reply.statusCode, text: await reply.body.text() }
}

beforeAll(async () => {
  await deployment.start()
  await engines.start(ENGINES)
  await deployment.configure(1)
  gateways = [deployment.gateway, await deployment.startGateway('b2')]
})
afterAll(async () => {
  await gateways[1]?.stop()
  engines.stop()
  await deployment.stop()
})

describe('a request that crashes each engine that runs it', () => {
  it('is not sent by any gateway after three engines have crashed under it', async () => {
    for (let arrival = 0; arrival < ARRIVALS; arrival += 1) {
      await send(gateways[arrival % gateways.length], CRASHING_BODY)
      await sleep(PAUSE_MS)
    }
    const crashCount = engines.crashes.filter((running) => running.includes(CRASHING_BODY)).length
    expect(crashCount).toBeGreaterThanOrEqual(QUARANTINED_AFTER)
    expect(crashCount).toBeLessThanOrEqual(QUARANTINED_AFTER + MAX_IN_FLIGHT)
  })

  it('does not affect other requests of the same caller on the same path', async () => {
    await until('all engines', () => engines.upCount === ENGINES)
    for (const [index, gateway] of gateways.entries()) expect((await send(gateway, `another body ${index}`)).status).toBe(200)
  })
})
