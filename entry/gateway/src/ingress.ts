/** The server for callers: reads requests, answers what needs no endpoint, and stops without cutting anything off. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { messageOf } from '@gullwall/core.error'
import { isOpenedEarly, listenOn } from '@gullwall/transport.http-server'
import { CallerResponse, type ErrorResponse } from './caller-response.ts'
import { resolveCall, type Refusal } from './call.ts'
import { RequestForwarder } from './request-forwarder.ts'
import { type GatewayServices } from './index.ts'
import { holdDeadline, START_UP_MS } from './start-up.ts'

/** Header bytes beyond the document's limit, for what the limit is not meant for, such as the request line. */
const HEADER_MARGIN_BYTES = 16_384
const DEFAULT_HEADER_BYTES = 16_384
/** The longest body that is read before a document says how long one may be. */
const MAX_BODY_BYTES = 4 * 1024 * 1024
const CHECK_MS = 1000
/** When a caller is asked to come back to a process that is not ready, in ms: another one may be ready by then. */
const NOT_READY_RETRY_MS = 300
/** After a stop was asked for, new connections still come for so long, until the balancer has seen it, in ms. */
const TAKE_ON_MS = 2500
/** What is kept of the time for a stop, to end in good order, in ms. */
const STOP_RESERVE_MS = 1200
const POLL_MS = 25
/** Another process takes the request at once; a new connection has to be made. In ms. */
const ELSEWHERE_MS = 20

export class Ingress {
  address = ''
  isStopping = false
  /** Once the balancer knows of a stop, what still comes on kept connections is told to go elsewhere. */
  private takesNothing = false
  private server: Server | undefined
  private takeOver: Promise<void> | undefined
  private inFlight = 0

  constructor (private readonly services: GatewayServices) {}

  async start (): Promise<void> {
    const { settings, store } = this.services
    this.server = createServer({
      maxHeaderSize: DEFAULT_HEADER_BYTES + HEADER_MARGIN_BYTES, requestTimeout: 0, connectionsCheckingInterval: CHECK_MS, keepAlive: false
    }, (request, response) => { void this.serve(request, response) })
    this.applyLimits()
    store.onChange(() => this.applyLimits())
    if (isOpenedEarly(settings.listen)) {
      this.address = settings.listen
      this.takeOver = this.takeOverOnceReady(this.server)
    } else {
      await listenOn(this.server, settings.listen)
      const info = this.server.address()
      this.address = typeof info === 'object' && info !== null ? `${info.address}:${info.port}` : settings.listen
    }
  }

  /**
   * Takes over an address that was opened before the program was loaded, once requests can be served. Read earlier, they
   * would only wait here, and reading them would take the processor from what they wait for.
   */
  private async takeOverOnceReady (server: Server): Promise<void> {
    const { settings, startedAt } = this.services
    await this.readyWithin(startedAt + START_UP_MS)
    // Where this fails the process ends with the reason: it would say that it takes requests, and serve none.
    await listenOn(server, settings.listen)
  }

  /** Stops taking work in the order in which callers notice: readiness, new connections, kept ones, requests in flight. */
  async stop (): Promise<void> {
    const { settings } = this.services
    const startedAt = performance.now()
    const endsAt = startedAt + settings.graceMs - STOP_RESERVE_MS
    this.isStopping = true
    // What fails here has been told as the process's end.
    await this.takeOver?.catch(() => {})
    await this.until(() => false, Math.min(startedAt + TAKE_ON_MS, endsAt))
    this.takesNothing = true
    this.server?.close()
    this.server?.closeIdleConnections()
    await this.until(() => this.inFlight === 0, endsAt)
    this.server?.closeAllConnections()
  }

  private async until (holds: () => boolean, endsAt: number): Promise<void> {
    while (!holds() && performance.now() < endsAt) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }

  private applyLimits (): void {
    const limits = this.services.view.table?.document.limits
    if (this.server === undefined || limits === undefined) return
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = performance.now()
    const { services } = this
    const requestId = services.dialect.readCall(request.headers).requestId
    const answer = new CallerResponse(response, requestId, () => this.isStopping)
    this.inFlight += 1
    try {
      await this.serveWith(request, answer, requestId, arrivedAt)
    } catch (error) {
      services.logger.error({ channel: 'process', event: 'failed', why: `request ${requestId}: ${messageOf(error)}` })
      answer.sendError({ status: 500, code: 'ERR_GULLWALL_UNEXPECTED', message: 'unexpected error', ran: 'unknown' })
    } finally {
      this.inFlight -= 1
      // An answer that began before the stop did not ask for its connection to be closed.
      if (this.takesNothing) response.once('close', () => setImmediate(() => this.server?.closeIdleConnections()))
    }
  }

  private async serveWith (request: IncomingMessage, answer: CallerResponse, requestId: string, arrivedAt: number): Promise<void> {
    const { view, dialect, controlLinks } = this.services
    const body = await readBody(request, view.table?.document.limits.maxBodyBytes ?? MAX_BODY_BYTES)
    if (body === 'left') return
    if (this.takesNothing) {
      const error: ErrorResponse = { status: 503, code: 'ERR_GULLWALL_STOPPING', message: 'this process stops', ran: 'no', retryAfterMs: ELSEWHERE_MS }
      this.refuse(answer, requestId, error)
      return
    }
    await this.readyWithin(holdDeadline(arrivedAt, this.services.startedAt))
    const table = view.table
    const notReady = controlLinks.findNotReadyReason()
    if (table === undefined || notReady !== undefined) {
      const message = notReady ?? 'not ready'
      this.refuse(answer, requestId, { status: 503, code: 'ERR_GULLWALL_NOT_READY', message, ran: 'no', retryAfterMs: NOT_READY_RETRY_MS })
      return
    }
    if (body === 'too large') {
      this.refuse(answer, requestId, { status: 413, code: 'ERR_GULLWALL_TOO_LARGE', message: 'the body is too large', ran: 'no' })
      return
    }
    const call = resolveCall({ request, body, table, dialect, arrivedAt })
    if (isRefusal(call)) {
      this.refuse(answer, requestId, { ...call, ran: 'no' })
      return
    }
    await new RequestForwarder(this.services, call, answer).run()
  }

  private async readyWithin (endsAt: number): Promise<void> {
    const { controlLinks, view } = this.services
    while (controlLinks.findNotReadyReason() !== undefined && performance.now() < endsAt) await view.waitForChange(POLL_MS)
  }

  private refuse (answer: CallerResponse, requestId: string, error: ErrorResponse): void {
    const { logger, view, metrics } = this.services
    metrics.requests.inc({ route: '', outcome: `refused-${error.status}` })
    logger.sampled(`refuse ${error.status}`, {
      channel: 'forward',
      decision: 'refuse',
      requestId,
      route: '',
      organisation: '',
      tier: -1,
      attempt: 0,
      documentVersion: view.table?.version ?? 0,
      documentAgeMs: view.documentAgeMs,
      elapsedMs: 0,
      why: `${error.status} ${error.code}: ${error.message}`
    })
    answer.sendError(error)
  }
}

function isRefusal (value: object): value is Refusal {
  return 'status' in value
}

/** Reads the whole body; undefined where there is none. */
async function readBody (request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined | 'too large' | 'left'> {
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (bytes <= maxBytes) chunks.push(chunk)
    }
  } catch {
    return 'left'
  }
  if (bytes > maxBytes) return 'too large'
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  return hasBody ? Buffer.concat(chunks) : undefined
}
