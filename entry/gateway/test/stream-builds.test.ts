import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { type Kernel } from '@gullwall/core.kernel'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const LAST = 4

interface Reply {
  status: number
  headers: Record<string, unknown>
  text: string
  isComplete: boolean
}

const events = (build: string, from: number, to = LAST) => (
  Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: ${build}\n\n`).join('')
)

/** Streams the events behind the one that the request names. */
const stream = (build: string): Behaviour => (incoming, response) => {
  const last = Number(incoming.headers['last-event-id'] ?? 0)
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
  response.end(events(build, last + 1))
}

/** Streams two events and breaks off inside the third. */
const breakOff = (build: string): Behaviour => (incoming, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
  response.write(`${events(build, 1, 2)}id: 3\nda`, () => setImmediate(() => response.destroy()))
}

const reject: Behaviour = (_incoming, response) => { response.writeHead(503, { 'x-gullwall-ran': 'no' }).end() }

let endpoints: StubEndpoint[]
let deployment: GatewayDeployment
let gateways: Array<Kernel<GatewayServices>>
let ids = 0

/** Starts a deployment with one endpoint for each of some builds. */
async function deploy (...builds: Array<string | undefined>): Promise<void> {
  endpoints = builds.map((build, index) => new StubEndpoint(`i-${index}`, 'app', stream(String(build)), 'dc1', build))
  deployment = new GatewayDeployment(endpoints)
  await deployment.start()
  for (const endpoint of endpoints) await deployment.register(endpoint)
  await deployment.configure(1)
  await deployment.awaitRetryBudget()
}

beforeEach(() => { gateways = [] })
afterEach(async () => {
  for (const gateway of gateways) await gateway.stop()
  await deployment.stop()
})

async function startGateway (box: string): Promise<Kernel<GatewayServices>> {
  const gateway = await deployment.startGateway(box)
  gateways.push(gateway)
  return gateway
}

async function call (headers: Record<string, string> = {}, gateway = deployment.gateway, path = '/draft/1'): Promise<Reply> {
  const reply = await request(`http://${gateway.get('ingress').address}${path}`, {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': `stream-${++ids}`, ...headers }, body: 'x'
  })
  const chunks: Buffer[] = []
  let isComplete = true
  try {
    for await (const chunk of reply.body as AsyncIterable<Buffer>) chunks.push(chunk)
  } catch {
    isComplete = false
  }
  return { status: reply.statusCode, headers: reply.headers, text: Buffer.concat(chunks).toString(), isComplete }
}

/** Lets the endpoint that gets the next request break off; the others stream. Returns that endpoint once it has got one. */
function breakOffFirst (): () => StubEndpoint {
  let first: StubEndpoint | undefined
  for (const endpoint of endpoints) {
    endpoint.behaviour = (...args) => {
      first ??= endpoint
      const act = endpoint === first && endpoint.requestIds.length === 1 ? breakOff : stream
      act(String(endpoint.build))(...args)
    }
  }
  return () => first ?? endpoints[0] as StubEndpoint
}

/** Takes a stream up behind its second event. */
const takeUp = (name: string) => ({ 'x-gullwall-resumes': name, 'last-event-id': '2' })

describe('a stream that has brought an event', () => {
  it('is not resumed at another build within one answer: it ends so that its caller sees that it broke off', async () => {
    await deploy('v1', 'v2')
    const first = breakOffFirst()
    const reply = await call()
    expect(reply).toMatchObject({ text: events(String(first().build), 1, 2), isComplete: false })
    expect(endpoints.flatMap(({ requestIds }) => requestIds)).toHaveLength(1)
  })

  it('is taken up at another gateway only at the build that began it', async () => {
    await deploy('v1', 'v2')
    const other = await startGateway('b2')
    for (const beginner of endpoints) {
      const name = `began-at-${beginner.incarnation}`
      for (const endpoint of endpoints) endpoint.behaviour = endpoint === beginner ? breakOff(String(endpoint.build)) : reject
      await call({ 'x-gullwall-request-id': name })
      for (const endpoint of endpoints) endpoint.behaviour = stream(String(endpoint.build))
      const reply = await call(takeUp(name), other)
      expect(reply).toMatchObject({ status: 200, text: events(String(beginner.build), 3), isComplete: true })
    }
  })
})
