/** A deployment of several gateways whose endpoints reject requests without running them, with the arrivals at each service. */
import { setTimeout as sleep } from 'node:timers/promises'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { request } from 'undici'
import { answerOk, createDocument, GatewayDeployment, StubEndpoint, type RetrySettings } from './gateway-deployment.ts'

/** The services of the document: `/look-up/` and `/order/` go to `app`, `/stock/` goes to `stock`. */
export const SERVICES = ['app', 'stock'] as const
const ENDPOINTS_PER_SERVICE = 6

interface Arrival { id: string, at: number }

export class RejectingDeployment {
  /** Whether the endpoints reject requests. */
  isRejecting = false
  readonly deployment: GatewayDeployment
  private readonly arrivals = new Map<string, Arrival[]>(SERVICES.map((service) => [service, []]))
  private readonly requests = new Map<string, number[]>(SERVICES.map((service) => [service, []]))
  private readonly endpoints: StubEndpoint[]
  private readonly others: Array<Kernel<GatewayServices>> = []
  private ids = 0

  constructor (private readonly settings: RetrySettings) {
    this.endpoints = SERVICES.flatMap((service) => (
      Array.from({ length: ENDPOINTS_PER_SERVICE }, (_unused, index) => this.createEndpoint(`${service}-${index}`, service))
    ))
    this.deployment = new GatewayDeployment(this.endpoints, undefined, settings)
  }

  private createEndpoint (incarnation: string, service: string): StubEndpoint {
    return new StubEndpoint(incarnation, service, (incoming, response, body) => {
      const id = String(incoming.headers['x-gullwall-request-id'])
      this.arrivals.get(service)?.push({ id, at: performance.now() })
      if (this.isRejecting) response.writeHead(503, { 'x-gullwall-ran': 'no', 'x-gullwall-request-id': id }).end()
      else answerOk(incoming, response, body)
    })
  }

  async start (): Promise<void> {
    await this.deployment.start()
    for (const endpoint of this.endpoints) await this.deployment.register(endpoint)
    await this.deployment.configureWith(1, documentWithStock())
  }

  async stop (): Promise<void> {
    await Promise.all(this.others.map(async (gateway) => await gateway.stop()))
    await this.deployment.stop()
  }

  /** Starts one gateway for each box name; one of a name that runs already takes its place, as after a kill. */
  async startGateways (boxes: readonly string[]): Promise<Array<Kernel<GatewayServices>>> {
    const started = await Promise.all(boxes.map(async (box) => await this.deployment.startGateway(box)))
    this.others.push(...started)
    return started
  }

  /** Sends requests on a path, evenly over the gateways and over `ms`; returns once each has its response. */
  async send (gateways: ReadonlyArray<Kernel<GatewayServices>>, path: string, count: number, ms: number): Promise<void> {
    const service = path.startsWith('/stock/') ? 'stock' : 'app'
    const replies: Array<Promise<void>> = []
    const startedAt = performance.now()
    for (let index = 0; index < count; index += 1) {
      const gateway = gateways[index % gateways.length] as Kernel<GatewayServices>
      this.requests.get(service)?.push(performance.now())
      replies.push(this.sendOne(`http://${gateway.get('ingress').address}${path}`))
      await sleep(Math.max(0, startedAt + (index + 1) * ms / count - performance.now()))
    }
    await Promise.all(replies)
  }

  private async sendOne (url: string): Promise<void> {
    this.ids += 1
    const headers = { authorization: 'Bearer secret', 'x-gullwall-request-id': `request-${this.ids}` }
    const reply = await request(url, { method: 'POST', headers, body: 'a body' })
    await reply.body.dump()
  }

  /** When each retry arrived at a service: every arrival after the first one of its request. */
  retriesAt (service: string): number[] {
    const seen = new Set<string>()
    const retries = (this.arrivals.get(service) ?? []).filter(({ id }) => {
      const isRetry = seen.has(id)
      seen.add(id)
      return isRetry
    })
    return retries.map(({ at }) => at)
  }

  /** The largest number of retries in a window beyond what the requests for the service allow; at most the slack is permitted. */
  mostBeyondRatio (service: string): number {
    const { retryRatio, retryWindowMs } = this.settings
    const retries = this.retriesAt(service)
    return Math.max(0, ...retries.map((from) => (
      countIn(retries, from, retryWindowMs) - retryRatio * this.requestsAround(service, from)
    )))
  }

  /** The requests for a service in a window, or in the window before it or half a window before it if those have more. */
  private requestsAround (service: string, from: number): number {
    const { retryWindowMs } = this.settings
    const requests = this.requests.get(service) ?? []
    return Math.max(...[0, 0.5, 1].map((windows) => countIn(requests, from - windows * retryWindowMs, retryWindowMs)))
  }
}

function countIn (times: readonly number[], from: number, ms: number): number {
  return times.filter((at) => at >= from && at < from + ms).length
}

function documentWithStock (): object {
  const document = createDocument(1) as { routes: Array<{ name: string }>, services: Array<{ name: string }> }
  const [route] = document.routes
  const [service] = document.services
  return {
    ...document,
    routes: [...document.routes, { ...route, name: 'stock', prefix: '/stock/', split: [{ service: 'stock', weight: 1 }] }],
    services: [...document.services, { ...service, name: 'stock' }]
  }
}
