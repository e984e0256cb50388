// One request ended each engine that began to run it. It came again and again, at every gateway and under new ids, and each
// gateway judged each arrival as if it were the first: it sent it to an engine, and after that had ended to the next one.
// Nothing knew it again. In one play 24 engines ended under one such request, and 113 of 166 streams were lost beside it in
// 12 s; the lines read, at one gateway after the other,
//   "decision":"fail" ... "why":"502 ERR_GULLWALL_BROKEN: UND_ERR_SOCKET: other side closed; 2 of 2 attempts made"
// each time with another id, the same organisation and the same route.
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
/** Between two arrivals of the request, in ms. */
const PAUSE_MS = 150
/** With so many engines ended under a request it is known; what is under way then may end as many more. */
const KNOWN_AFTER = 3
const UNDER_WAY = 3

const CRASHING = 'a sheet that no engine survives'

const deployment = new GatewayDeployment([])
const engines = new CrashingEngines(deployment, { crashes: (body) => body === CRASHING })
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

describe('a request that ends each engine that runs it', () => {
  it('is sent no more once three engines have ended under it, whichever gateway it comes to', async () => {
    for (let arrival = 0; arrival < ARRIVALS; arrival += 1) {
      await send(gateways[arrival % gateways.length], CRASHING)
      await sleep(PAUSE_MS)
    }
    const ended = engines.crashes.filter((running) => running.includes(CRASHING)).length
    expect(ended).toBeGreaterThanOrEqual(KNOWN_AFTER)
    expect(ended).toBeLessThanOrEqual(KNOWN_AFTER + UNDER_WAY)
  })

  it('does not keep other requests of the same caller on the same path from being served', async () => {
    await until('all engines', () => engines.upCount === ENGINES)
    for (const [index, gateway] of gateways.entries()) expect((await send(gateway, `another sheet ${index}`)).status).toBe(200)
  })
})
