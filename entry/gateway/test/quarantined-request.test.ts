/** Quarantine of a request under which engines crash: its effect on other requests, on its caller, and on gateways that start later. */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { buildStory, type LogLine } from '@gullwall/cli.story'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { until } from '@gullwall/bench.deployment'
import { CrashingEngines } from './crashing-engines.ts'
import { GatewayDeployment } from './gateway-deployment.ts'

const ENGINES = 6
const CRASHING_BODY = 'a body that crashes every engine'
const OTHER_CRASHING_BODY = 'another body that crashes every engine'
const RUN_MS = 60

const deployment = new GatewayDeployment([])
const engines = new CrashingEngines(deployment, {
  crashes: (body) => body === CRASHING_BODY || body === OTHER_CRASHING_BODY, runsForMs: RUN_MS
})
let ids = 0

interface Reply {
  id: string
  status: number
  retryAfter: number
  text: string
}

async function send (gateway: Kernel<GatewayServices>, body: string, path = '/look-up/sheet'): Promise<Reply> {
  const id = `request-${++ids}`
  const reply = await request(`http://${gateway.get('ingress').address}${path}`, {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body
  })
  return { id, status: reply.statusCode, retryAfter: Number(reply.headers['retry-after']), text: await reply.body.text() }
}

const mainGateway = () => deployment.gateway
const quarantinedCount = () => mainGateway().get('quarantine').size
const logLines = () => deployment.logLines.map((line) => JSON.parse(line) as LogLine)
const crashesUnder = (body: string) => engines.crashes.filter((running) => running.includes(body)).length

/** Sends a request until it is quarantined. */
async function sendUntilQuarantined (body: string): Promise<void> {
  const before = quarantinedCount()
  await until('the quarantine', async () => {
    await send(mainGateway(), body)
    return quarantinedCount() > before
  })
}

beforeAll(async () => {
  await deployment.start()
  await engines.start(ENGINES)
  await deployment.configure(1)
})
afterAll(async () => {
  engines.stop()
  await deployment.stop()
})

describe('a quarantined request', () => {
  it('is the only one: requests that ran at the same engines are still served', async () => {
    const bodies: string[] = []
    // Two requests for each engine are always running, so that some of them run at an engine that crashes.
    const senders = Array.from({ length: 2 * ENGINES }, async () => {
      while (quarantinedCount() === 0) {
        const body = `a harmless body ${bodies.length}`
        bodies.push(body)
        await send(mainGateway(), body)
      }
    })
    await sendUntilQuarantined(CRASHING_BODY)
    await Promise.all(senders)
    expect(quarantinedCount()).toBe(1)
    expect(engines.crashes.some((running) => running.length > 1)).toBe(true)
    await until('all engines', () => engines.upCount === ENGINES)
    for (const body of bodies) expect((await send(mainGateway(), body)).status, body).toBe(200)
  })

  it('is refused as not run, with a retry delay and the reason', async () => {
    const ranBefore = engines.runs.length
    const { id, status, retryAfter, text } = await send(mainGateway(), CRASHING_BODY)
    expect(engines.runs.length).toBe(ranBefore)
    expect({ status, retryAfter }).toEqual({ status: 503, retryAfter: 60 })
    expect(JSON.parse(text)).toMatchObject({ error: { ran: 'no' } })
    expect(text).toContain('crashed while this request was running there')
    const story = buildStory(logLines(), id)
    expect(story.at(-1)).toMatchObject({ isOwn: true, what: 'refuse' })
    expect(story.filter(({ what }) => what === 'quarantine crashed').length).toBeGreaterThanOrEqual(3)
    expect(story.some(({ what }) => what === 'quarantine held')).toBe(true)
    const metrics = await mainGateway().get('registry').metrics()
    expect(metrics).toContain('gullwall_quarantined_requests 1')
    expect(metrics).toMatch(/gullwall_quarantine_refusals_total [1-9]/)
    expect(metrics).toMatch(/gullwall_endpoint_crashes_total [1-9]/)
  })

  it('may run on another path, where it is a different request', async () => {
    const ranBefore = engines.runs.length
    await send(mainGateway(), CRASHING_BODY, '/look-up/elsewhere')
    expect(engines.runs.length).toBeGreaterThan(ranBefore)
  })

  it('is known to a gateway that starts later, before that gateway accepts requests', async () => {
    const later = await deployment.startGateway('b3')
    const ranBefore = engines.runs.filter(({ body }) => body === CRASHING_BODY).length
    expect((await send(later, CRASHING_BODY)).status).toBe(503)
    expect(engines.runs.filter(({ body }) => body === CRASHING_BODY).length).toBe(ranBefore)
    await later.stop()
  })

  it('is quarantined by a gateway that can reach no control process, from its own observations', async () => {
    await until('all engines', () => engines.upCount === ENGINES)
    await deployment.control.stop()
    for (let arrival = 0; arrival < 12; arrival += 1) {
      await send(mainGateway(), OTHER_CRASHING_BODY)
      await sleep(300)
    }
    // Three crashes identify the request; the others happen before the gateway decides without control.
    expect(crashesUnder(OTHER_CRASHING_BODY)).toBeLessThanOrEqual(8)
    expect((await send(mainGateway(), OTHER_CRASHING_BODY)).status).toBe(503)
  })
})
