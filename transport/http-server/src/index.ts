/** HTTP servers by koa: one way to listen, to close without cutting off answers, and the admin page of each program. */
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import Koa from 'koa'
import Router from '@koa/router'
import { type Registry } from '@gullwall/core.metrics'
import { handleClientErrors } from './client-errors.ts'
import { listenOn } from './listen.ts'
import { ResponseTracker } from './response-tracker.ts'

export * from './abort-response.ts'
export * from './client-errors.ts'
export * from './listen.ts'
export * from './response-tracker.ts'
export { Koa, Router }

/** Connections that send no whole header within this time are closed. */
const HEADERS_TIMEOUT_MS = 10_000
const KEEP_ALIVE_MS = 30_000

/** A listening server that knows its answers in flight. */
export class HttpServer {
  readonly server: Server
  private readonly responses: ResponseTracker

  constructor (readonly app: Koa) {
    const handler = app.callback()
    const timeouts = { headersTimeout: HEADERS_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 }
    this.server = createServer(timeouts, (request, response) => { void handler(request, response) })
    this.responses = new ResponseTracker(this.server)
    handleClientErrors(this.server)
  }

  /** @throws ERR_GULLWALL_LISTEN if the address can't be had. */
  async listen (address: string): Promise<string> {
    await listenOn(this.server, address)
    return this.address
  }

  get address (): string {
    const info = this.server.address() as AddressInfo
    return info.family === 'IPv6' ? `[${info.address}]:${info.port}` : `${info.address}:${info.port}`
  }

  /** Waits until every answer has been sent. */
  async drained (): Promise<void> {
    await this.responses.drained()
  }

  /** Takes no new connections, waits for answers in flight, and closes. */
  async close (): Promise<void> {
    const closed = once(this.server, 'close')
    await this.responses.stop()
    await closed
  }
}

export interface AdminOptions {
  registry: Registry
  /** Why the process is not ready, or undefined if it is. */
  notReady: () => string | undefined
  /** Further pages, by path. */
  pages?: Record<string, (query: URLSearchParams) => unknown>
}

/** The admin page: liveness, readiness, metrics and what the program adds. */
export function createAdminServer (options: AdminOptions): HttpServer {
  const app = new Koa()
  const router = new Router()
  router.get('/livez', (context) => { context.body = { live: true } })
  router.get('/readyz', (context) => {
    const why = options.notReady()
    context.status = why === undefined ? 200 : 503
    context.body = why === undefined ? { ready: true } : { ready: false, why }
  })
  router.get('/metrics', async (context) => {
    context.type = options.registry.contentType
    context.body = await options.registry.metrics()
  })
  for (const [path, page] of Object.entries(options.pages ?? {})) {
    router.get(path, (context) => { context.body = page(context.URL.searchParams) })
  }
  app.use(router.routes())
  return new HttpServer(app)
}
