import { afterAll, beforeAll, beforeEach, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { type Link } from '@gullwall/transport.link'
import { type Message, type UsageWindow } from '@gullwall/transport.messages'
import { UsageTracker } from '../src/usage-tracker.ts'
import { answerOk, GatewayDeployment, StubEndpoint, USAGE_WINDOW_MS, type Behaviour } from './gateway-deployment.ts'

const TELL_MS = 1000

class FakeLink {
  readonly told: UsageWindow[][] = []

  send (message: Message): boolean {
    if (message.kind === 'usage') this.told.push(message.windows)
    return true
  }

  get asLink (): Link {
    return this as unknown as Link
  }
}

describe('what a gateway tells of usage', () => {
  beforeEach(() => {
    vi.useFakeTimers()
    return () => vi.useRealTimers()
  })

  it('is told again as a whole where another control process is told, and once more before the end', () => {
    const links = [new FakeLink(), new FakeLink()]
    let listened: Link | undefined = links[0]?.asLink
    const controlLinks = { get primaryLink () { return listened } }
    const teller = new UsageTracker({ settings: { usageWindowMs: USAGE_WINDOW_MS }, controlLinks } as never)
    teller.start()
    teller.recordBegun('a', performance.now())
    vi.advanceTimersByTime(TELL_MS)
    vi.advanceTimersByTime(TELL_MS)
    expect(links[0]?.told).toMatchObject([[{ counts: [{ organisation: 'a', begun: 1 }] }]])
    listened = links[1]?.asLink
    vi.advanceTimersByTime(TELL_MS)
    expect(links[1]?.told).toMatchObject([[{ counts: [{ organisation: 'a', begun: 1 }] }]])
    teller.recordBegun('a', performance.now())
    teller.stop()
    expect(links[1]?.told.at(-1)).toMatchObject([{ counts: [{ organisation: 'a', begun: 2 }] }])
  })
})

describe('requests that count as begun', () => {
  const standIn = new StubEndpoint('i-only', 'app')
  const deployment = new GatewayDeployment([standIn])
  let ids = 0

  beforeAll(async () => {
    await deployment.start()
    await deployment.register(standIn)
    await deployment.configure(1)
  })
  afterAll(async () => await deployment.stop())

  async function call (path: string, behaviour: Behaviour): Promise<void> {
    standIn.behaviour = behaviour
    const id = `usage-${++ids}`
    const reply = await request(deployment.url(path), { headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id } })
    await reply.body.dump()
  }

  function counted (): number {
    const parts = deployment.control.get('usageReporter').getUsageParts(Math.floor(Date.now() / USAGE_WINDOW_MS))
    return parts.sources.flatMap(({ counts }) => counts).reduce((sum, { begun }) => sum + begun, 0)
  }

  const notRun: Behaviour = (incoming, response) => {
    response.writeHead(503, { 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']), 'x-gullwall-ran': 'no' }).end()
  }
  const stream: Behaviour = (incoming, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
    response.end('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n')
  }

  it('are those that an endpoint ran, each once: calls when they were sent, streams with their first event', async () => {
    await call('/look-up/1', answerOk)
    await call('/scan/1', stream)
    await call('/order/1', notRun)
    await until('the counts', () => counted() >= 2)
    expect(counted()).toBe(2)
  })
})
