import { afterAll, beforeAll, beforeEach, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { type Link } from '@gullwall/transport.link'
import { type Message, type UsageWindow } from '@gullwall/transport.messages'
import { UsageTracker } from '../src/usage-tracker.ts'
import { answerOk, GatewayDeployment, StubEndpoint, USAGE_WINDOW_MS, type Behaviour } from './gateway-deployment.ts'

const INTERVAL_MS = 1000

class FakeLink {
  readonly sent: UsageWindow[][] = []

  send (message: Message): boolean {
    if (message.kind === 'usage') this.sent.push(message.windows)
    return true
  }

  get asLink (): Link {
    return this as unknown as Link
  }
}

describe('the usage reports of a gateway', () => {
  beforeEach(() => {
    vi.useFakeTimers()
    return () => vi.useRealTimers()
  })

  it('contain all counts after a change of the control process, and are sent once more before the stop', () => {
    const links = [new FakeLink(), new FakeLink()]
    let listened: Link | undefined = links[0]?.asLink
    const controlLinks = { get primaryLink () { return listened } }
    const reporter = new UsageTracker({ settings: { usageWindowMs: USAGE_WINDOW_MS }, controlLinks } as never)
    reporter.start()
    reporter.recordBegun('a', performance.now())
    vi.advanceTimersByTime(INTERVAL_MS)
    vi.advanceTimersByTime(INTERVAL_MS)
    expect(links[0]?.sent).toMatchObject([[{ counts: [{ organisation: 'a', begun: 1 }] }]])
    listened = links[1]?.asLink
    vi.advanceTimersByTime(INTERVAL_MS)
    expect(links[1]?.sent).toMatchObject([[{ counts: [{ organisation: 'a', begun: 1 }] }]])
    reporter.recordBegun('a', performance.now())
    reporter.stop()
    expect(links[1]?.sent.at(-1)).toMatchObject([{ counts: [{ organisation: 'a', begun: 2 }] }])
  })
})

describe('the requests that count as begun', () => {
  const stub = new StubEndpoint('i-only', 'app')
  const deployment = new GatewayDeployment([stub])
  let ids = 0

  beforeAll(async () => {
    await deployment.start()
    await deployment.register(stub)
    await deployment.configure(1)
  })
  afterAll(async () => await deployment.stop())

  async function call (path: string, behaviour: Behaviour): Promise<void> {
    stub.behaviour = behaviour
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

  it('are those that an endpoint ran, each once: calls when they are sent, streams at their first event', async () => {
    await call('/look-up/1', answerOk)
    await call('/scan/1', stream)
    await call('/order/1', notRun)
    await until('the counts', () => counted() >= 2)
    expect(counted()).toBe(2)
  })
})
