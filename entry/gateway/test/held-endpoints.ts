/** A gateway whose endpoints hold every request until a test answers it, with what both ends have seen. */
import { request } from 'undici'
import { type GatewayServices } from '@gullwall/entry.gateway'
import { type Kernel } from '@gullwall/core.kernel'
import { GatewayDeployment } from './gateway-deployment.ts'
import { RawEndpoint, type RawRequest } from './raw-endpoint.ts'

/** A request that an endpoint runs. */
export interface HeldRequest extends RawRequest {
  id: string
  endpoint: RawEndpoint
  /** When it was read, by the monotonic clock. */
  at: number
}

export interface HeldReply {
  id: string
  /** 0 if the connection was closed without a response. */
  status: number
  text: string
  isComplete: boolean
  retryAfter: string | undefined
}

export interface SendOptions {
  headers?: Record<string, string>
  body?: string | Buffer
  gateway?: Kernel<GatewayServices>
}

export class HeldEndpoints {
  readonly deployment = new GatewayDeployment([], { dc1: 'north', dc2: 'north' })
  readonly endpoints: readonly RawEndpoint[]
  /** All requests that endpoints have read. */
  readonly held: HeldRequest[] = []
  private ids = 0

  constructor (dataCentres: readonly string[]) {
    this.endpoints = dataCentres.map((dataCentre, index) => {
      const endpoint: RawEndpoint = new RawEndpoint(`i-${index + 1}`, (incoming) => {
        this.held.push({ ...incoming, id: incoming.headers['x-gullwall-request-id'] ?? '', endpoint, at: performance.now() })
      }, dataCentre)
      return endpoint
    })
  }

  async start (document: (version: number) => object): Promise<void> {
    await this.deployment.start()
    for (const endpoint of this.endpoints) {
      await endpoint.start()
      await this.deployment.register(endpoint)
    }
    await this.deployment.configureWith(1, document(1))
    await this.deployment.awaitRetryBudget()
  }

  async stop (): Promise<void> {
    await this.deployment.stop()
    for (const endpoint of this.endpoints) endpoint.stop()
  }

  newId (): string {
    return `request-${++this.ids}`
  }

  async send (path: string, { headers = {}, body = 'x', gateway = this.deployment.gateway }: SendOptions = {}): Promise<HeldReply> {
    const id = headers['x-gullwall-request-id'] ?? this.newId()
    const reply: HeldReply = { id, status: 0, text: '', isComplete: false, retryAfter: undefined }
    try {
      const response = await request(`http://${gateway.get('ingress').address}${path}`, {
        method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...headers }, body
      })
      Object.assign(reply, { status: response.statusCode, retryAfter: response.headers['retry-after'] })
      for await (const chunk of response.body as AsyncIterable<Buffer>) reply.text += chunk.toString()
      reply.isComplete = true
    } catch {
      // The connection was closed; what came before stands in the reply.
    }
    return reply
  }

  /** The arrivals of a request at all endpoints. */
  arrivalsOf (id: string): HeldRequest[] {
    return this.held.filter((arrival) => arrival.id === id)
  }
}

/** Responds to a held request. */
export function respond ({ id, connection }: HeldRequest, status: number, { body = '', more = '' } = {}): void {
  connection.write(`HTTP/1.1 ${status} Status\r\nx-gullwall-request-id: ${id}\r\n${more}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
}

export const NOT_RUN = 'x-gullwall-ran: no\r\n'
