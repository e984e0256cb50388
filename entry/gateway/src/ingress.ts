/** The HTTP server for callers: reads requests, handles those that need no endpoint, and stops without interrupting any. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { messageOf } from '@gullwall/core.error'
import { handleClientErrors, isOpenedEarly, listenOn, ResponseTracker } from '@gullwall/transport.http-server'
import { ConnectionShedder, WINDOW_MS } from './connection-shedder.ts'
import { CallerResponse, type FailureResponse, type RefusalResponse } from './caller-response.ts'
import { resolveCall, type InvalidCall } from './call.ts'
import { RequestForwarder } from './request-forwarder.ts'
import { type GatewayServices } from './index.ts'
import { holdDeadline, START_UP_MS } from './start-up.ts'

/** Header bytes in addition to the document's limit, for parts that the limit does not cover, such as the request line. */
const HEADER_MARGIN_BYTES = 16_384
const DEFAULT_HEADER_BYTES = 16_384
/** Maximum length of a body before a routing document sets a limit. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
const CONNECTION_CHECK_INTERVAL_MS = 1000
/** Retry delay for callers of a process that is not ready, in ms: another process may be ready by then. */
const NOT_READY_RETRY_MS = 300
/** Time after the start of a stop in which new connections are still accepted, until the balancer has noticed the stop, in ms. */
const ACCEPT_WHILE_STOPPING_MS = 2500
/** Part of the grace period that is reserved for closing the remaining services, in ms. */
const STOP_RESERVE_MS = 1200
const POLL_INTERVAL_MS = 25
/** Retry delay for callers of a process that is stopping, in ms: another process accepts the request at once, over a new connection. */
const STOPPING_RETRY_MS = 20

export class Ingress {
  address = ''
  isStopping = false
  readonly shedder = new ConnectionShedder()
  /** Whether all requests are refused: the balancer has noticed the stop, but requests still arrive on idle connections. */
  private isRefusingAll = false
  private server: Server | undefined
  /** Settles when the server listens at an address that was opened early. */
  private takeOver: Promise<void> | undefined
  private responses: ResponseTracker | undefined
  private utilizationTimer: NodeJS.Timeout | undefined

  constructor (private readonly services: GatewayServices) {}

  async start (): Promise<void> {
    const { settings, store } = this.services
    this.server = createServer({
      maxHeaderSize: DEFAULT_HEADER_BYTES + HEADER_MARGIN_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      keepAlive: false
    }, (request, response) => { void this.serve(request, response) })
    this.responses = new ResponseTracker(this.server)
    handleClientErrors(this.server)
    this.server.on('connection', (socket) => {
      // Nothing has been read yet, so that the caller may send any request again elsewhere.
      if (this.shedder.shouldClose()) socket.destroy()
    })
    this.watchUtilization()
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
   * Takes over an address that was opened before the program was loaded, once requests can be served. Accepting requests earlier
   * would only use processor time that the start itself needs.
   */
  private async takeOverOnceReady (server: Server): Promise<void> {
    const { settings, startedAt } = this.services
    await this.waitUntilReady(startedAt + START_UP_MS)
    // A failure here ends the process, which would otherwise report readiness without serving requests.
    await listenOn(server, settings.listen)
  }

  /** Tells the shedder how busy this gateway is. A process that starts has work of its own, which says nothing about its callers. */
  private watchUtilization (): void {
    const { startedAt, measureUtilization } = this.services
    this.utilizationTimer = setInterval(() => {
      const utilization = measureUtilization()
      if (performance.now() - startedAt > START_UP_MS + WINDOW_MS) this.shedder.recordUtilization(utilization)
    }, WINDOW_MS)
  }

  /** Stops in the order in which callers notice: readiness, new connections, idle connections, requests in flight. */
  async stop (): Promise<void> {
    const { settings } = this.services
    const startedAt = performance.now()
    const endsAt = startedAt + settings.graceMs - STOP_RESERVE_MS
    this.isStopping = true
    // A failure has already been reported as the reason why the process ends.
    await this.takeOver?.catch(() => {})
    await this.until(() => false, Math.min(startedAt + ACCEPT_WHILE_STOPPING_MS, endsAt))
    this.isRefusingAll = true
    await this.responses?.stop(endsAt)
    clearInterval(this.utilizationTimer)
  }

  /** Waits until a condition holds, at most until `endsAt` by the monotonic clock. */
  private async until (condition: () => boolean, endsAt: number): Promise<void> {
    while (!condition() && performance.now() < endsAt) await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
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
    const callerResponse = new CallerResponse(response, requestId, () => this.isStopping)
    try {
      await this.serveWith(request, callerResponse, requestId, arrivedAt)
    } catch (error) {
      services.logger.error({ channel: 'process', event: 'failed', why: `request ${requestId}: ${messageOf(error)}` })
      callerResponse.fail({ status: 500, code: 'ERR_GULLWALL_UNEXPECTED', message: 'unexpected error', ran: 'unknown' })
    }
  }

  private async serveWith (request: IncomingMessage, callerResponse: CallerResponse, requestId: string, arrivedAt: number): Promise<void> {
    const { view, dialect, controlLinks } = this.services
    const body = await readBody(request, view.table?.document.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES)
    if (body === 'disconnected') return
    if (this.isRefusingAll) {
      const refusal: RefusalResponse = {
        status: 503, code: 'ERR_GULLWALL_STOPPING', message: 'this process is stopping', retryAfterMs: STOPPING_RETRY_MS
      }
      this.refuse(callerResponse, requestId, refusal)
      return
    }
    await this.waitUntilReady(holdDeadline(arrivedAt, this.services.startedAt))
    const table = view.table
    const notReady = controlLinks.findNotReadyReason()
    if (table === undefined || notReady !== undefined) {
      const message = notReady ?? 'not ready'
      this.refuse(callerResponse, requestId, { status: 503, code: 'ERR_GULLWALL_NOT_READY', message, retryAfterMs: NOT_READY_RETRY_MS })
      return
    }
    if (body === 'too large') {
      this.reject(callerResponse, requestId, { status: 413, code: 'ERR_GULLWALL_TOO_LARGE', message: 'the body is too large', ran: 'no' })
      return
    }
    const call = resolveCall({ request, body, table, dialect, arrivedAt })
    if (isInvalid(call)) {
      this.reject(callerResponse, requestId, { ...call, ran: 'no' })
      return
    }
    await new RequestForwarder(this.services, call, callerResponse).run()
  }

  /** Waits until this process is ready, at most until `endsAt` by the monotonic clock. */
  private async waitUntilReady (endsAt: number): Promise<void> {
    const { controlLinks, view } = this.services
    while (controlLinks.findNotReadyReason() !== undefined && performance.now() < endsAt) await view.waitForChange(POLL_INTERVAL_MS)
  }

  /** Refuses a request that was not forwarded: another process, or this one later, may serve it. */
  private refuse (callerResponse: CallerResponse, requestId: string, refusal: RefusalResponse): void {
    const proof = callerResponse.evidence.proveNotRun()
    if (proof === undefined) throw new Error('a request that was forwarded is refused elsewhere')
    this.services.metrics.refusals.inc({ status: refusal.status, evidence: proof.evidence })
    this.recordUnrouted(requestId, refusal)
    callerResponse.refuse(refusal, proof)
  }

  /** Rejects a request that can't be served as it is. */
  private reject (callerResponse: CallerResponse, requestId: string, failure: FailureResponse): void {
    this.recordUnrouted(requestId, failure)
    callerResponse.fail(failure)
  }

  private recordUnrouted (requestId: string, { status, code, message }: RefusalResponse | FailureResponse): void {
    const { logger, view, metrics } = this.services
    metrics.requests.inc({ route: '', outcome: `refused-${status}` })
    logger.sampled(`refuse ${status}`, {
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
      why: `${status} ${code}: ${message}`
    })
  }
}

function isInvalid (value: object): value is InvalidCall {
  return 'status' in value
}

/** Reads the complete body; undefined if the request has none, 'disconnected' if the caller disconnected. */
async function readBody (request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined | 'too large' | 'disconnected'> {
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (bytes <= maxBytes) chunks.push(chunk)
    }
  } catch {
    return 'disconnected'
  }
  if (bytes > maxBytes) return 'too large'
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  return hasBody ? Buffer.concat(chunks) : undefined
}
