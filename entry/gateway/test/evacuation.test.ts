/** A gateway with endpoints in two data centres, of which one or both are evacuated. */
import { afterAll, afterEach, beforeAll, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { type OrderCaller } from '@gullwall/control.program'
import { createGateway } from '@gullwall/entry.gateway'
import { answerNotRun, answerOk, GatewayDeployment, inProcess, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const near = new StubEndpoint('i-near', 'app')
const far = new StubEndpoint('i-far', 'app')
const both = [near, far]
const deployment = new GatewayDeployment(both, { dc1: 'north', dc2: 'north' })
const caller: OrderCaller = { isDisconnected: false, detectDisconnect: async () => false }

/** The time for which a new request waits for an endpoint, in ms: a quarter of its target. */
const MAX_WAIT_MS = 100

let ids = 0

interface Reply {
  id: string
  status: number
  retryAfter: number
  text: string
}

async function callAt (base: string, path: string, headers: Record<string, string> = {}, body?: string): Promise<Reply> {
  const id = `request-${++ids}`
  const reply = await request(`${base}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...headers },
    body
  })
  return { id, status: reply.statusCode, retryAfter: Number(reply.headers['retry-after']), text: await reply.body.text() }
}

async function call (path: string, headers: Record<string, string> = {}, body?: string): Promise<Reply> {
  return await callAt(deployment.url(''), path, headers, body)
}

const evacuations = () => deployment.gateway.get('evacuatedDataCentres')

async function order (dataCentre: string, isEvacuated: boolean): Promise<void> {
  await deployment.control.get('evacuations').order({ dataCentre, isEvacuated, caller })
}

async function applyOrder (dataCentre: string, isEvacuated: boolean): Promise<void> {
  await order(dataCentre, isEvacuated)
  await until('the order to be applied', () => evacuations().isEvacuated(dataCentre) === isEvacuated)
}

/** Returns the log line of the first attempt of a request. */
function firstLine (id: string): Record<string, unknown> {
  return deployment.logRecordsOf(id)[0] ?? {}
}

const lastReason = (id: string) => String(deployment.logRecordsOf(id).at(-1)?.['why'])

beforeAll(async () => {
  await deployment.start()
  for (const [index, stub] of both.entries()) {
    const { incarnation, service, build, address } = stub
    const dataCentre = `dc${index + 1}`
    await deployment.control.get('registrar').receiveHeartbeat({
      incarnation, service, build, address, dataCentre, slots: 4, state: 'ready', sequence: 1, ageMs: 0
    })
  }
  await until('both endpoints', () => deployment.gateway.get('view').usable('app').length === 2)
  await deployment.configure(1)
  await deployment.awaitRetryBudget()
})
afterAll(async () => await deployment.stop())
afterEach(async () => {
  vi.restoreAllMocks()
  for (const stub of both) stub.behaviour = answerOk
  for (const dataCentre of ['dc1', 'dc2']) await applyOrder(dataCentre, false)
})

/** Sends prompts until one is assigned to an endpoint and cached there; returns the header of that prompt. */
async function promptCachedAt (stub: StubEndpoint): Promise<Record<string, string>> {
  for (let subject = 0; subject < 100; subject += 1) {
    const shared = { id: `s${subject}`, tokens: 20_000 }
    const headers = { 'x-gullwall-prompt-parts': `${shared.id}:${shared.tokens},own:10` }
    const { endpoint, why } = firstLine((await call('/open/1', headers)).id)
    if (endpoint !== stub.incarnation || why !== 'affinity endpoint of its prompt') continue
    const { prefixCache } = deployment.gateway.get('view').get(stub.incarnation) ?? {}
    await until('the prompt to be cached', () => (prefixCache?.copyableTokens([shared], performance.now()) ?? 0) > 0)
    return headers
  }
  throw new Error('no prompt was assigned to the endpoint')
}

describe('an evacuated data centre', () => {
  it('receives nothing more, and receives requests again once the order is withdrawn', async () => {
    await applyOrder('dc1', true)
    const before = near.requestIds.length
    for (let turn = 0; turn < 10; turn += 1) expect((await call(`/look-up/${turn}`)).status).toBe(200)
    expect(near.requestIds.length).toBe(before)
    await applyOrder('dc1', false)
    await until('a request', async () => {
      await call('/look-up/1')
      return near.requestIds.length > before
    })
  })

  it('loses its prompts to other endpoints at once, and no endpoint is instructed to copy from it', async () => {
    const headers = await promptCachedAt(far)
    await applyOrder('dc2', true)
    const moved = await call('/open/1', headers)
    expect(firstLine(moved.id)).toMatchObject({ endpoint: near.incarnation, why: 'affinity endpoint of its prompt' })
    expect(near.headers[near.requestIds.indexOf(moved.id)]?.['x-gullwall-prefix-source']).toBeUndefined()
  })

  it('completes its running streams', async () => {
    let finish: (() => void) | undefined
    const holdStream: Behaviour = (incoming, response) => {
      response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
      response.write('id: 1\ndata: 1\n\n')
      finish = () => response.end('id: 2\ndata: 2\n\n')
    }
    await applyOrder('dc1', true)
    far.behaviour = holdStream
    const streamed = call('/long/1', {}, 'x')
    await until('the first event', () => finish !== undefined)
    await applyOrder('dc2', true)
    finish?.()
    expect(await streamed).toMatchObject({ status: 200, text: 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n' })
  })

  it.each([['/look-up/1', 'a retry'], ['/draft/1', 'a resumption']])('does not receive a request again: %s, as %s', async (path) => {
    await applyOrder('dc2', true)
    const before = far.requestIds.length
    near.behaviour = (incoming, response) => {
      response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']), 'content-length': '999' })
      response.write('id: 1\ndata: 1\n\n', () => setImmediate(() => response.destroy()))
    }
    await call(path, {}, 'x').catch(() => {})
    expect(far.requestIds.length).toBe(before)
  })

  it('resumes a stream that broke elsewhere if the order is withdrawn while the stream waits for an endpoint', async () => {
    let isWithdrawn = false
    vi.spyOn(evacuations(), 'isEvacuated').mockImplementation((dataCentre) => dataCentre === 'dc2' && !isWithdrawn)
    vi.spyOn(deployment.gateway.get('view'), 'waitForChange').mockImplementation(async () => { isWithdrawn = true })
    const first = 'id: 1\ndata: 1\n\n'
    near.behaviour = (incoming, response) => {
      response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
      response.write(first)
      setTimeout(() => response.destroy(), MAX_WAIT_MS + 50)
    }
    far.behaviour = (incoming, response) => {
      response.writeHead(200, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
      response.end('id: 2\ndata: 2\n\n')
    }
    expect(await call('/draft/1', {}, 'x')).toMatchObject({ status: 200, text: `${first}id: 2\ndata: 2\n\n` })
  })

  it('does not receive a request that was assigned before the order, and its endpoint is not marked unreachable', async () => {
    const headers = await promptCachedAt(far)
    const before = far.requestIds.length
    const connections = deployment.gateway.get('connections')
    const to = connections.dispatcherFor.bind(connections)
    vi.spyOn(connections, 'dispatcherFor').mockImplementation((description, ...rest) => {
      if (description.dataCentre === 'dc2') vi.spyOn(evacuations(), 'isEvacuated').mockImplementation((dataCentre) => dataCentre === 'dc2')
      return to(description, ...rest)
    })
    const reply = await call('/order/1', headers, 'x')
    expect(reply.status).toBe(200)
    expect(far.requestIds.length).toBe(before)
    expect(deployment.logRecordsOf(reply.id).map(({ decision }) => decision)).toEqual(['dispatch', 'retry', 'dispatch', 'finish'])
    expect(deployment.logRecordsOf(reply.id)[1]?.['why']).toContain('not sent: data centre dc2 is evacuated')
    expect(deployment.gateway.get('view').get(far.incarnation)?.unreachableShare).toBe(0)
  })

  it('has none of its engines reserved', async () => {
    const reserved = vi.spyOn(deployment.gateway.get('view').reserved, 'update')
    await applyOrder('dc2', true)
    reserved.mockClear()
    await until('engines to be reserved', () => reserved.mock.calls.length > 0)
    for (const [, endpoints] of reserved.mock.calls) {
      expect(endpoints.map(({ description }) => description.incarnation)).toEqual([near.incarnation])
    }
  })

  it('does not attract a request that waits for an answer elsewhere', async () => {
    await applyOrder('dc2', true)
    const before = far.requestIds.length
    near.behaviour = (...args) => { setTimeout(() => answerOk(...args), 1100) }
    expect(await call('/look-up/1')).toMatchObject({ status: 200 })
    expect(far.requestIds.length).toBe(before)
  })
})

it('a request that only evacuated data centres could serve is refused with a retry-after header and a reason in the log', async () => {
  await applyOrder('dc1', true)
  await applyOrder('dc2', true)
  const refused = await call('/order/1', {}, 'x')
  expect(refused.status).toBe(503)
  expect(refused.retryAfter).toBeGreaterThan(0)
  expect(refused.text).toContain('"ran":"no"')
  expect(lastReason(refused.id)).toMatch(/no eligible endpoint: data centre dc[12] is evacuated/)
})

it('the log line of a refused request counts the endpoints that an evacuation excluded', async () => {
  await applyOrder('dc2', true)
  near.behaviour = answerNotRun
  const refused = await call('/order/2', {}, 'x')
  expect(refused.status).toBe(503)
  expect(lastReason(refused.id)).toContain('1 of 2 endpoints not eligible: data centre dc2 is evacuated')
})

it('a gateway that starts during an evacuation applies it before its first request', async () => {
  await applyOrder('dc2', true)
  const before = far.requestIds.length
  const gateway = createGateway(deployment.gateway.get('settings'), inProcess(() => {}))
  await gateway.start()
  const base = `http://${gateway.get('ingress').address}`
  try {
    const statuses = new Set<number>()
    await until('a served request', async () => {
      statuses.add((await callAt(base, '/look-up/1')).status)
      return statuses.has(200)
    })
    for (let turn = 0; turn < 10; turn += 1) await callAt(base, `/look-up/${turn}`)
    expect([200, 503]).toEqual(expect.arrayContaining([...statuses]))
    expect(gateway.get('evacuatedDataCentres').evacuated).toEqual(['dc2'])
    expect(far.requestIds.length).toBe(before)
  } finally {
    await gateway.stop()
  }
}, 20_000)

it('a gateway that was disconnected during an order applies it, and reports its withdrawal, after it reconnects', async () => {
  const withdrawn: string[] = []
  const removeListener = evacuations().onWithdrawn((dataCentre) => withdrawn.push(dataCentre))
  const firstCut = vi.spyOn(deployment.gateway.get('spreader'), 'receive').mockReturnValue(true)
  await order('dc2', true)
  firstCut.mockRestore()
  await until('the order to be applied', () => evacuations().isEvacuated('dc2'))
  const before = far.requestIds.length
  for (let turn = 0; turn < 5; turn += 1) await call(`/look-up/${turn}`)
  expect(far.requestIds.length).toBe(before)
  const secondCut = vi.spyOn(deployment.gateway.get('spreader'), 'receive').mockReturnValue(true)
  await order('dc2', false)
  await order('dc2', true)
  await order('dc2', false)
  expect(withdrawn).toEqual([])
  secondCut.mockRestore()
  await until('the withdrawal', () => !evacuations().isEvacuated('dc2'))
  removeListener()
  expect(withdrawn).toEqual(['dc2'])
})
