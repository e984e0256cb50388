/** A deployment of several gateways and engines that advertise limits, with requests through all gateways at even intervals. */
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { answerOk, GatewayDeployment, StubEndpoint, type Behaviour } from './gateway-deployment.ts'

const LIMIT_HEADER = 'x-gullwall-limit'
export const WINDOW_MS = 4000

export interface Reply {
  at: number
  status: number
  retryAfterS: number
  /** The body of an error response; empty for a success. */
  message: string
}

export class LimitedEngine extends StubEndpoint {
  /** The limit that the engine advertises in its responses, in requests a second; undefined for none. */
  advertisedPerSecond: number | undefined
  readonly arrivals: number[] = []

  constructor (incarnation: string, private readonly runMs: number) {
    super(incarnation, 'app')
    this.behaviour = (incoming, response, body) => {
      this.arrivals.push(performance.now())
      if (this.advertisedPerSecond !== undefined) response.setHeader(LIMIT_HEADER, String(this.advertisedPerSecond))
      setTimeout(() => answer(incoming, response, body), this.runMs)
    }
  }

  /** Returns the maximum number of arrivals in any window that starts at `from` or later. */
  maxPerWindow (from: number): number {
    const counted = this.arrivals.filter((at) => at >= from)
    return Math.max(0, ...counted.map((start) => counted.filter((at) => at >= start && at < start + WINDOW_MS).length))
  }

  countSince (from: number): number {
    return this.arrivals.filter((at) => at >= from).length
  }
}

const answer: Behaviour = (incoming, response, body) => {
  if (!(incoming.url ?? '').startsWith('/draft/')) {
    answerOk(incoming, response, body)
    return
  }
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
  response.end('id: 1\ndata: 1\n\n')
}

const PATHS = ['/look-up/1', '/draft/1', '/order/1']

export class LimitedDeployment {
  readonly deployment: GatewayDeployment
  private readonly others: Array<Kernel<GatewayServices>> = []
  private ids = 0

  constructor (readonly engines: readonly LimitedEngine[]) {
    this.deployment = new GatewayDeployment(engines)
  }

  async start (gateways: number): Promise<void> {
    await this.deployment.start()
    for (const engine of this.engines) await this.deployment.register(engine)
    await this.deployment.configure(1)
    for (let index = 1; index < gateways; index += 1) this.others.push(await this.deployment.startGateway(`g${index}`))
  }

  async stop (): Promise<void> {
    await Promise.all(this.others.map(async (gateway) => await gateway.stop()))
    await this.deployment.stop()
  }

  get gateways (): Array<Kernel<GatewayServices>> {
    return [this.deployment.gateway, ...this.others]
  }

  /** Sends `perSecond` requests a second through all gateways together for `ms`; returns the replies. */
  async sendFor (ms: number, perSecond: number): Promise<Reply[]> {
    const addresses = this.gateways.map((gateway) => gateway.get('ingress').address)
    const replies: Array<Promise<Reply>> = []
    const startedAt = performance.now()
    for (let sent = 0; performance.now() < startedAt + ms; sent += 1) {
      replies.push(this.send(addresses[sent % addresses.length] as string))
      await sleep(Math.max(0, startedAt + (sent + 1) * 1000 / perSecond - performance.now()))
    }
    return await Promise.all(replies)
  }

  private async send (address: string): Promise<Reply> {
    const at = performance.now()
    this.ids += 1
    const reply = await request(`http://${address}${PATHS[this.ids % PATHS.length] as string}`, {
      method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': `request-${this.ids}` }, body: 'a body'
    })
    const text = await reply.body.text()
    return { at, status: reply.statusCode, retryAfterS: Number(reply.headers['retry-after']), message: reply.statusCode === 200 ? '' : text }
  }
}
