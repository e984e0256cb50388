/** A sidecar's attempts in front of an endpoint on a raw socket. */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Pool } from 'undici'
import { createLogger } from '@gullwall/core.logger'
import { HttpEndpoint } from '@gullwall/endpoint.http'
import { AttemptRegistry, AttemptRunner, type AttemptCrashes, type ServedEndpoint } from '@gullwall/sidecar.attempts'
import { readRefusal, writeHead, type AttemptHead, type AttemptRefused } from '@gullwall/transport.attempt'
import { HttpServer, Koa } from '@gullwall/transport.http-server'

/** How the endpoint responds to an attempt. */
export type Respond = (socket: Socket, attemptId: string) => void

/** A response as an entry gets it. */
export interface EntryResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  refusal: AttemptRefused | undefined
}

const noCrashes: AttemptCrashes = {
  currentLife: () => 'life', recordBrokenConnection: () => {}, recordRefusedConnection: () => {}, recordSuccess: () => {}, recordGoodRun: () => {}
}
const slots = {
  admit: () => true, release: () => {}, recordResponse: () => {}, recordFailure: () => {}, recordFirstToken: () => {}, recordGap: () => {}
}

export class SidecarFixture {
  readonly registry = new AttemptRegistry()
  /** Connections that the endpoint has accepted. */
  readonly connections: Socket[] = []
  respond: Respond = () => {}
  private readonly server: Server
  private http!: HttpServer
  private endpoint!: HttpEndpoint
  private pool!: Pool

  constructor () {
    this.server = createServer((socket) => {
      this.connections.push(socket)
      socket.on('error', () => {})
      let head = ''
      socket.on('data', (chunk) => {
        head += chunk.toString('latin1')
        const attemptId = /x-gullwall-attempt-id: (\S+)\r\n[^]*\r\n\r\n/i.exec(head)?.[1]
        if (attemptId === undefined) return
        head = ''
        this.respond(socket, attemptId)
      })
    })
  }

  async start (): Promise<void> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    const address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    this.endpoint = new HttpEndpoint('stub', address)
    const served = { local: { name: 'stub', kind: 'service', serves: 'stub', address }, endpoint: this.endpoint, slots } as unknown as ServedEndpoint
    const runner = new AttemptRunner({
      startId: 'start',
      endpoints: new Map([['stub', served]]),
      registry: this.registry,
      crashes: noCrashes,
      logger: createLogger({ program: 'test', box: 'b', write: () => {} }),
      isLeaving: () => false
    })
    const app = new Koa()
    app.silent = true
    app.use(async (context) => await runner.handle(context))
    this.http = new HttpServer(app)
    this.pool = new Pool(`http://${await this.http.listen('127.0.0.1:0')}`, { headersTimeout: 0, bodyTimeout: 0 })
  }

  async stop (): Promise<void> {
    await this.pool.destroy()
    await this.endpoint.close()
    for (const socket of this.connections) socket.destroy()
    this.server.close()
    await this.http.close()
  }

  /** Resolves once the latest connection to the endpoint is closed. */
  async untilClosed (): Promise<void> {
    const socket = this.connections.at(-1)
    if (socket?.destroyed === false) await once(socket, 'close')
  }

  /** Sends an attempt as an entry does, and reads the response to its end. */
  async send (attemptId: string, head: Partial<AttemptHead> = {}): Promise<EntryResponse> {
    const { statusCode, headers, body } = await this.pool.request({
      method: 'POST', path: '/attempt/path', body: '{}', headers: writeHead({ ...attemptHead(attemptId), ...head })
    })
    await body.text().catch(() => {})
    return { status: statusCode, headers, refusal: readRefusal(headers) }
  }
}

export function attemptHead (attemptId: string): AttemptHead {
  return {
    attemptId,
    requestId: `r-${attemptId}`,
    fingerprint: 'f',
    parts: [],
    organisation: 'o',
    entry: 'entry',
    endpoint: 'stub',
    sidecarStartId: 'start',
    offerId: undefined,
    class: 'c',
    tier: 0,
    repeatable: false,
    preemptible: false,
    stream: false,
    firstTokenMs: 1000,
    betweenTokensMs: 1000
  }
}
