/** Guards against a request that is written to an endpoint a second time, or counts as unsent although it was written (TWICE, REFUSED). */
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { Connections } from '../src/connections.ts'
import { Exchange, type ExchangeOutcome } from '../src/exchange.ts'
import { Choices, FaultyEndpoint } from './faulty-connections.ts'
import { GatewayDeployment } from './gateway-deployment.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 74)
const EXCHANGES = 2500
const REQUESTS = 800
const CALLERS = 16
/** Fewer connections than callers, so that requests wait for one. */
const MAX_CONNECTIONS = 8
const CONNECT_MS = 200
const NOT_RUN_STATUSES: ReadonlyArray<number | 'closed'> = [408, 421, 429, 503]
const PATHS_THAT_RUN_ONCE = ['/order/1', '/scan/1']

/** Has several callers call a function, each with numbers of its own. */
async function callConcurrently (count: number, call: (number: number) => Promise<void>): Promise<void> {
  let next = 0
  await Promise.all(Array.from({ length: CALLERS }, async () => {
    while (next < count) {
      next += 1
      await call(next)
    }
  }))
}

describe(`an exchange over connections that end at any moment (seed ${SEED})`, () => {
  const choices = new Choices(SEED)
  const endpoint = new FaultyEndpoint('i-1', choices)
  const connections = new Connections()
  const outcomes = new Map<string, ExchangeOutcome['type']>()

  beforeAll(async () => await endpoint.start())
  afterAll(() => endpoint.stop())

  /** Starts an exchange whose caller, or the gateway, ends some of them at any moment. */
  async function exchange (number: number): Promise<void> {
    const id = `exchange-${number}`
    const { address } = endpoint
    const dispatcher = connections.dispatcherFor({ incarnation: 'i-1', service: 'app', address, dataCentre: 'dc1', slots: 4 }, MAX_CONNECTIONS, 1)
    const body = choices.pick([Buffer.from('x'.repeat(10)), Buffer.alloc(0), undefined])
    const started = new Exchange(dispatcher, `http://${address}`, {
      method: body === undefined ? 'GET' : 'POST',
      path: '/order/1',
      headers: ['x-gullwall-request-id', id],
      body,
      connectMs: CONNECT_MS,
      findRefusalReason: () => choices.chance(0.02) ? 'no longer allowed' : undefined,
      onSending: () => {},
      wasClosedCleanly: async () => await connections.wasClosedCleanly()
    }, { onInterim: () => {}, onHead: ({ headers }) => headers['x-gullwall-request-id'] === id ? 'read' : 'foreign', onData: () => {}, onEndless: () => {} })
    if (choices.chance(0.1)) setTimeout(() => started.cancel(), choices.pick([0, 1, 2, 4]))
    else if (choices.chance(0.1)) setTimeout(() => started.abandon('it takes too long'), choices.pick([0, 1, 2, 4]))
    outcomes.set(id, (await started.outcome).type)
  }

  it('is written at most once, and never if it counts as unsent', async () => {
    await callConcurrently(EXCHANGES, exchange)
    await connections.stop()
    const broken = [...outcomes].flatMap(([id, type]) => {
      const arrivals = endpoint.arrivals.get(id) ?? 0
      const isUnsent = type === 'unsent' || type === 'withheld'
      return arrivals > 1 || (isUnsent && arrivals > 0) ? [`${id} is ${type} and arrived ${arrivals} times`] : []
    })
    console.log(`seed ${SEED}`, countBy(outcomes.values()))
    expect(broken).toEqual([])
    expect(outcomes.size).toBe(EXCHANGES)
  })
})

describe(`a request that may run once, over connections that end at any moment (seed ${SEED})`, () => {
  const choices = new Choices(SEED)
  const endpoints = ['i-1', 'i-2', 'i-3'].map((incarnation) => new FaultyEndpoint(incarnation, choices))
  const deployment = new GatewayDeployment(endpoints, undefined, { retryRatio: 1, retryWindowMs: 1000, retrySlack: 5000 })
  /** What each caller got: a status, or nothing if its connection was closed, which promises nothing. */
  const statuses = new Map<string, number | 'closed'>()

  beforeAll(async () => {
    await deployment.start()
    for (const endpoint of endpoints) await deployment.register(endpoint)
    await deployment.configure(1)
    await deployment.awaitRetryBudget()
  })
  afterAll(async () => await deployment.stop())

  async function send (number: number): Promise<void> {
    const id = `request-${number}`
    const headers = { authorization: 'Bearer secret', 'x-gullwall-request-id': id }
    statuses.set(id, 'closed')
    try {
      const reply = await request(deployment.url(choices.pick(PATHS_THAT_RUN_ONCE)), { method: 'POST', headers, body: 'x' })
      statuses.set(id, reply.statusCode)
      await reply.body.dump()
    } catch {
      // A gateway that is busy closes connections, and a stream that broke off has no end.
    }
  }

  it('arrives at most once, and its caller is never told that it has not run if it arrived', async () => {
    await callConcurrently(REQUESTS, send)
    const broken = [...statuses].flatMap(([id, status]) => {
      const arrivals = endpoints.reduce((sum, endpoint) => sum + (endpoint.arrivals.get(id) ?? 0), 0)
      return arrivals > 1 || (arrivals > 0 && NOT_RUN_STATUSES.includes(status)) ? [`${id} got ${status} and arrived ${arrivals} times`] : []
    })
    console.log(`seed ${SEED}`, countBy(statuses.values()))
    expect(broken).toEqual([])
    expect(statuses.size).toBe(REQUESTS)
  })
})

function countBy (values: Iterable<string | number>): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1
  return counts
}
