// Guards against a part of prompts that crashes every engine, in requests that are never alike: evidence by whole requests finds no cause.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { CrashingEngines } from './crashing-engines.ts'
import { GatewayDeployment } from './gateway-deployment.ts'

const ENGINES = 8
/** The bounds of the users' rule: requests with the part that may be sent later than this time after the fifth crash. */
const CONTACT_MS = 3000
const MAX_SENT_LATE = 3
/** Share of the sound requests that must be answered in that time, of all that are answered without crashes. */
const MIN_SERVED_SHARE = 0.5
/** Time for which requests are sent after the bound has begun, in ms. */
const OBSERVED_MS = 2000
const CRASHES_BEFORE_BOUND = 5
const MAX_BEGIN_MS = 5000

interface Scenario {
  name: string
  path: string
  /** Parts of the requests that crash engines, without their last part. */
  crashing: string[]
  sound: string[]
  perSecond: number
  crashesWhileWriting: boolean
  /** Whether sound requests come for a second before. */
  isWarm: boolean
}

const scenarios: Scenario[] = [
  { name: 'the second of three parts', path: '/draft/', crashing: ['system', 'deadly'], sound: ['system', 'other'], perSecond: 10, crashesWhileWriting: true, isWarm: true },
  { name: 'the first of three parts', path: '/draft/', crashing: ['deadly', 'document'], sound: ['system', 'document'], perSecond: 10, crashesWhileWriting: true, isWarm: true },
  { name: 'a part that comes 25 times a second', path: '/look-up/', crashing: ['system', 'deadly'], sound: ['system', 'other'], perSecond: 25, crashesWhileWriting: false, isWarm: true },
  { name: 'a part of which no other part was known before', path: '/look-up/', crashing: ['system', 'deadly'], sound: ['system', 'other'], perSecond: 10, crashesWhileWriting: false, isWarm: false }
]

describe.each(scenarios)('$name that crashes each engine', (scenario) => {
  const deployment = new GatewayDeployment([])
  const { crashesWhileWriting } = scenario
  const engines = new CrashingEngines(deployment, { crashes: (body) => body.includes('deadly'), crashesWhileWriting })
  let gateways: Array<Kernel<GatewayServices>> = []
  let count = 0

  async function send (parts: readonly string[]): Promise<number> {
    count += 1
    const gateway = gateways[count % gateways.length]
    const prompt = [...parts, `own-${count}`]
    const reply = await request(`http://${gateway?.get('ingress').address}${scenario.path}`, {
      method: 'POST',
      headers: {
        authorization: 'Bearer secret',
        'x-gullwall-request-id': `request-${count}`,
        'x-gullwall-prompt-parts': prompt.map((part) => `${part}:10`).join(',')
      },
      body: prompt.join(' ')
    })
    await reply.body.text().catch(() => '')
    return reply.statusCode
  }

  const deadlyCrashes = () => engines.crashes.filter((running) => running.some((body) => body.includes('deadly'))).length

  beforeAll(async () => {
    await deployment.start()
    await engines.start(ENGINES)
    await deployment.configure(1)
    gateways = [deployment.gateway, await deployment.startGateway('b2'), await deployment.startGateway('b3')]
  })
  afterAll(async () => {
    engines.stop()
    await Promise.all([...gateways.slice(1).map(async (gateway) => await gateway.stop()), deployment.stop()])
  })

  it('is sent no more after five crashes, and requests with the other parts are served', async () => {
    const statuses: Array<{ at: number, status: number }> = []
    const pending: Array<Promise<unknown>> = []
    const sendSound = async () => {
      const at = performance.now()
      statuses.push({ at, status: await send(scenario.sound) })
    }
    const pauseMs = 1000 / scenario.perSecond
    if (scenario.isWarm) for (let sent = 0; sent < scenario.perSecond; sent += 1) await sendSound()
    let boundAt = Infinity
    const begunAt = performance.now()
    while (performance.now() < Math.min(boundAt, begunAt + MAX_BEGIN_MS + CONTACT_MS) + OBSERVED_MS) {
      pending.push(send(scenario.crashing), sendSound())
      await sleep(pauseMs)
      if (boundAt === Infinity && deadlyCrashes() >= CRASHES_BEFORE_BOUND) boundAt = performance.now() + CONTACT_MS
    }
    await Promise.all(pending)
    expect(boundAt).not.toBe(Infinity)
    const sentLate = engines.runs.filter(({ body, at }) => body.includes('deadly') && at > boundAt)
    const observed = statuses.filter(({ at }) => at > boundAt)
    const served = observed.filter(({ status }) => status === 200).length / observed.length
    console.log(`${deadlyCrashes()} crashes, ${sentLate.length} sent late, ${observed.length} sound requests of which ${served.toFixed(2)} served`)
    expect(served).toBeGreaterThanOrEqual(MIN_SERVED_SHARE)
    expect(sentLate.length).toBeLessThanOrEqual(MAX_SENT_LATE)
  }, 30_000)
})
