/** A region with two of five control processes, its gateways and its engine, before and after the other region fails. */
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { createControl, type ControlServices } from '@gullwall/control.program'
import { MemoryDisk } from '@gullwall/control.storage'
import { type Kernel } from '@gullwall/core.kernel'
import { createGateway, type GatewayServices } from '@gullwall/entry.gateway'
import { createDocument, inProcess, StubEndpoint } from './gateway-deployment.ts'

const REGIONS = { n1: 'north', n2: 'north', n3: 'north', s1: 'south', s2: 'south', s3: 'south' }
const CONTROLS = ['n1', 'n2', 'n3', 's1', 's2'] as const
const COMMON = { linkKey: 'a-shared-key-for-loopback', logLevel: 'info' as const, admin: '127.0.0.1:0', regions: REGIONS }
/** A box that joins must serve requests within this time, in ms. */
const MAX_JOIN_MS = 2000

const controls = new Map<string, Kernel<ControlServices>>()
const gateways: Array<Kernel<GatewayServices>> = []
const engine = new StubEndpoint('i-south', 'app', undefined, 's3')
const laterEngine = new StubEndpoint('i-south-2', 'app', undefined, 's1')
let seeds: string[] = []
let sequence = 0

async function startControl (dataCentre: string, listen: string): Promise<void> {
  const control = await createControl({
    ...COMMON,
    box: `box-${dataCentre}`,
    dataCentre,
    listen,
    member: `m-${dataCentre}`,
    members: {},
    seeds,
    founds: true,
    tolerance: 2,
    dataFolder: 'unused',
    operatorToken: 'an-operator-token-for-loopback',
    quorumHeartbeatMs: 40,
    quorumElectionMs: 200,
    firstElectionShare: 0.4
  }, { disk: new MemoryDisk(), write: () => {} })
  await control.start()
  controls.set(dataCentre, control)
}

/** Starts a gateway in the data centre that has no control process. */
async function startGateway (box: string): Promise<Kernel<GatewayServices>> {
  const gateway = createGateway({
    ...COMMON,
    box,
    dataCentre: 's3',
    listen: '127.0.0.1:0',
    readiness: '127.0.0.1:0',
    seeds: seeds.slice(0, 3),
    graceMs: 4000,
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    retrySlack: 60
  }, inProcess(() => {}))
  await gateway.start()
  gateways.push(gateway)
  return gateway
}

function control (dataCentre: string): Kernel<ControlServices> {
  const found = controls.get(dataCentre)
  if (found === undefined) throw new Error(`no control process in ${dataCentre}`)
  return found
}

async function heartbeat (stub: StubEndpoint, state: 'ready' | 'draining' = 'ready'): Promise<void> {
  const { incarnation, service, address, dataCentre } = stub
  sequence += 1
  await control('s1').get('registrar').receiveHeartbeat({ incarnation, service, address, dataCentre, slots: 4, state, sequence, ageMs: 0 })
}

async function statusOf (gateway: Kernel<GatewayServices>): Promise<number> {
  const reply = await request(`http://${gateway.get('ingress').address}/look-up/1`, { headers: { authorization: 'Bearer secret' } })
  await reply.body.dump()
  return reply.statusCode
}

async function put (version: number): Promise<void> {
  await until(`version ${version}`, async () => {
    for (const each of controls.values()) {
      const isStored = await each.get('documents').put(JSON.stringify(createDocument(version))).then(() => true, () => false)
      if (isStored) return true
    }
    return false
  })
}

const isUsable = (gateway: Kernel<GatewayServices>, { incarnation }: StubEndpoint) => (
  gateway.get('view').usable('app').some(({ description }) => description.incarnation === incarnation)
)

beforeAll(async () => {
  seeds = await freeAddresses(CONTROLS.length)
  for (const [index, dataCentre] of CONTROLS.entries()) await startControl(dataCentre, seeds[index] ?? '')
  await until('five voters', () => [...controls.values()].every((each) => each.get('quorum').status().voters.length === 5))
  for (const stub of [engine, laterEngine]) await stub.start()
  await put(1)
  await heartbeat(engine)
})
afterAll(async () => {
  for (const gateway of gateways) await gateway.stop()
  for (const each of controls.values()) await each.stop()
  for (const stub of [engine, laterEngine]) stub.stop()
})

describe('a gateway in the region with fewer control processes', () => {
  it('serves requests soon after its start, and is counted among the entries that share the budgets', async () => {
    await startGateway('g-1')
    const startedAt = performance.now()
    const second = await startGateway('g-2')
    await until('an answer', async () => await statusOf(second) === 200)
    const tookMs = performance.now() - startedAt
    console.log(`first answer after ${Math.round(tookMs)} ms`)
    expect(tookMs).toBeLessThan(MAX_JOIN_MS)
    await until('both gateways to be counted everywhere', () => gateways.every((gateway) => gateway.get('view').entryCount === 2))
  })

  it('exchanges load with a control process of its region', async () => {
    for (const gateway of gateways) {
      // It uses another control process until the links to its region are open.
      await until('the link to the south', () => gateway.get('controlLinks').primaryLink?.peer.dataCentre.startsWith('s') === true)
    }
  })

  it('still serves requests after the other region fails, while control accepts no orders', async () => {
    for (const dataCentre of ['n1', 'n2', 'n3']) {
      await control(dataCentre).stop()
      controls.delete(dataCentre)
    }
    const [gateway] = gateways
    if (gateway === undefined) throw new Error('no gateway')
    await until('the links to be closed', () => gateway.get('controlLinks').openCount === 2)
    for (const each of controls.values()) {
      await expect(each.get('documents').put(JSON.stringify(createDocument(2)))).rejects.toMatchObject({ code: expect.stringMatching(/^ERR_GULLWALL_/) })
      await expect(each.get('documents').read()).rejects.toMatchObject({ code: expect.stringMatching(/^ERR_GULLWALL_/) })
    }
    expect(await statusOf(gateway)).toBe(200)
    expect(gateway.get('view').table?.version).toBe(1)
    expect(gateway.get('view').documentAgeMs).toBeGreaterThan(0)
    expect(gateway.get('view').entryCount).toBe(2)
  })

  it('still receives new endpoints and draining ones, although the draining is not acknowledged', async () => {
    const [gateway] = gateways
    if (gateway === undefined) throw new Error('no gateway')
    await heartbeat(laterEngine)
    await until('the new endpoint', () => isUsable(gateway, laterEngine))
    await expect(heartbeat(laterEngine, 'draining')).rejects.toMatchObject({ code: 'ERR_GULLWALL_NO_QUORUM' })
    await until('the draining', () => !isUsable(gateway, laterEngine))
    expect(await statusOf(gateway)).toBe(200)
  })
})
