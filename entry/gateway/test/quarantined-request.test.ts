/** A request under which engines crash, and what it does to those beside it, to its caller, and to boxes that come later. */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { tellStory, type LogLine } from '@gullwall/cli.story'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { until } from '@gullwall/bench.deployment'
import { CrashingEngines } from './crashing-engines.ts'
import { GatewayDeployment } from './gateway-deployment.ts'

const ENGINES = 6
const CRASHING = 'a sheet that no engine survives'
const ALSO_CRASHING = 'another sheet that no engine survives'
const RUNS_MS = 60

const deployment = new GatewayDeployment([])
const engines = new CrashingEngines(deployment, { crashes: (body) => body === CRASHING || body === ALSO_CRASHING, runsForMs: RUNS_MS })
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

const here = () => deployment.gateway
const heldCount = () => here().get('quarantine').size
const linesOf = () => deployment.logLines.map((line) => JSON.parse(line) as LogLine)
const endedUnder = (body: string) => engines.crashes.filter((running) => running.includes(body)).length

/** Sends a request until it is held. */
async function sendUntilHeld (body: string): Promise<void> {
  const before = heldCount()
  await until('it is held', async () => {
    await send(here(), body)
    return heldCount() > before
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

describe('a request that is held', () => {
  const beside: Array<Promise<Reply>> = []

  it('is the only one: what ran beside it is served', async () => {
    const bodies = Array.from({ length: 60 }, (_unused, index) => `a good sheet ${index}`)
    const sending = bodies.map(async (body, index) => {
      await sleep(20 * index)
      beside.push(send(here(), body))
    })
    await sendUntilHeld(CRASHING)
    await Promise.all(sending)
    await Promise.all(beside)
    expect(heldCount()).toBe(1)
    expect(engines.crashes.some((running) => running.length > 1)).toBe(true)
    await until('all engines', () => engines.upCount === ENGINES)
    for (const body of bodies) expect((await send(here(), body)).status, body).toBe(200)
  })

  it('is refused with the truth: not run, when to come back, and why', async () => {
    const ranBefore = engines.runs.length
    const { id, status, retryAfter, text } = await send(here(), CRASHING)
    expect(engines.runs.length).toBe(ranBefore)
    expect({ status, retryAfter }).toEqual({ status: 503, retryAfter: 60 })
    expect(JSON.parse(text)).toMatchObject({ error: { ran: 'no' } })
    expect(text).toContain('crashed while this request was running there')
    const story = tellStory(linesOf(), id)
    expect(story.at(-1)).toMatchObject({ isOwn: true, what: 'refuse' })
    expect(story.filter(({ what }) => what === 'quarantine crashed').length).toBeGreaterThanOrEqual(3)
    expect(story.some(({ what }) => what === 'quarantine held')).toBe(true)
    const metrics = await here().get('registry').metrics()
    expect(metrics).toContain('gullwall_quarantined_requests 1')
    expect(metrics).toMatch(/gullwall_quarantine_refusals_total [1-9]/)
    expect(metrics).toMatch(/gullwall_endpoint_crashes_total [1-9]/)
  })

  it('may come on another path, where it is not the same request', async () => {
    const ranBefore = engines.runs.length
    await send(here(), CRASHING, '/look-up/elsewhere')
    expect(engines.runs.length).toBeGreaterThan(ranBefore)
  })

  it('is known to a box that starts later, before it takes anything', async () => {
    const later = await deployment.startGateway('b3')
    const ranBefore = engines.runs.filter(({ body }) => body === CRASHING).length
    expect((await send(later, CRASHING)).status).toBe(503)
    expect(engines.runs.filter(({ body }) => body === CRASHING).length).toBe(ranBefore)
    await later.stop()
  })

  it('is stopped by a box that can tell no control process, by what this box saw', async () => {
    await until('all engines', () => engines.upCount === ENGINES)
    await deployment.control.stop()
    for (let arrival = 0; arrival < 12; arrival += 1) {
      await send(here(), ALSO_CRASHING)
      await sleep(300)
    }
    // Three to know it, and what comes before the box takes itself to be alone.
    expect(endedUnder(ALSO_CRASHING)).toBeLessThanOrEqual(8)
    expect((await send(here(), ALSO_CRASHING)).status).toBe(503)
  })
})
