/** The HTTP client that all dialects use: a pool of undici connections for each endpoint. */
import { Pool, type Dispatcher } from 'undici'
import { GullwallError, type ErrorCode } from '@gullwall/core.error'
import { type ResponseReceiver, type Endpoint, type EndpointCall, type ResponseHeadListener } from '@gullwall/endpoint.dialect'
import { ConnectionEnds } from './connection-ends.ts'
import { ATTEMPT_ID_HEADER, exchange, UnsentError } from './exchange.ts'

export { ConnectionAbort } from './connection-abort.ts'
export { ConnectionEnds } from './connection-ends.ts'
export { EndlessResponseError, findCurrentReads, findEndlessPlace, type ConnectionReads, type EndlessPlace } from './connection-reads.ts'
export { ATTEMPT_ID_HEADER, exchange, MAX_INTERIM_HEADS, UnsentError } from './exchange.ts'
export { framingOf, type Framing } from './framing.ts'

/** Headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])
const CONNECT_TIMEOUT_MS = 2000
/** Time for a whole report or probe, in ms. */
const REPORT_TIMEOUT_MS = 2000
/** Maximum size of a report, which has some numbers for each model. */
const MAX_REPORT_BYTES = 1024 * 1024
/** Codes of failures to connect. */
const CONNECT_FAILURE_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL'])

/** Opens a pool of keep-alive connections to an address, for the use of {@link exchange}; `ends` reports how they end. */
export function createPool (address: string, ends = new ConnectionEnds()): Pool {
  return new Pool(`http://${address}`, {
    connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: ends.createConnector(CONNECT_TIMEOUT_MS)
  })
}

/** Selects the headers that may be forwarded: no hop-by-hop headers and none that `Connection` lists. Names become lower case. */
export function selectEndToEndHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string | string[]> {
  const connectionHeaders = String(headers['connection'] ?? '').toLowerCase().split(',').map((name) => name.trim())
  const selected: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase()
    if (value === undefined || HOP_BY_HOP.has(lower) || connectionHeaders.includes(lower)) continue
    selected[lower] = value
  }
  return selected
}

/** Whether a request was not sent because its endpoint could not be connected to. */
function isConnectFailure (error: UnsentError): boolean {
  return CONNECT_FAILURE_CODES.has((error.cause as NodeJS.ErrnoException).code ?? '')
}

/** An endpoint that is reached by HTTP. */
export class HttpEndpoint implements Endpoint {
  private readonly pool: Pool
  private readonly ends = new ConnectionEnds()

  /** @param onResponseHead listener for all response headers, including those of interim responses */
  constructor (
    private readonly name: string, private readonly address: string, private readonly onResponseHead: ResponseHeadListener = () => {}
  ) {
    this.pool = createPool(address, this.ends)
  }

  async run (call: EndpointCall, receiver: ResponseReceiver): Promise<void> {
    const options = { method: call.method as Dispatcher.HttpMethod, path: call.path, headers: call.headers, body: call.body }
    try {
      await exchange(this.pool, options, receiver, call.signal, {
        onResponseHead: this.onResponseHead,
        wasClosedCleanly: async () => await this.ends.wasClosedCleanly(),
        attemptId: String(call.headers[ATTEMPT_ID_HEADER] ?? '') || undefined
      })
    } catch (cause) {
      if (cause instanceof GullwallError) throw cause
      throw new GullwallError(...this.describeFailure(cause), { step: 'run', peer: `${this.name}@${this.address}`, cause })
    }
  }

  private describeFailure (cause: unknown): [code: ErrorCode, message: string] {
    if (!(cause instanceof UnsentError)) return ['ERR_GULLWALL_ENDPOINT_FAILED', 'the endpoint failed before its response was complete']
    if (isConnectFailure(cause)) return ['ERR_GULLWALL_ENDPOINT_REFUSED', 'the endpoint could not be connected to']
    return ['ERR_GULLWALL_UNSENT', 'the request was not sent']
  }

  /** Requests a path and parses the response as JSON, whatever its status. */
  async getJson (path: string): Promise<unknown> {
    return JSON.parse((await this.request('GET', path)).toString('utf8')) as unknown
  }

  async probe (): Promise<void> {
    await this.request('HEAD', '/')
  }

  /** Returns the body of a response that is small and comes soon. */
  private async request (method: Dispatcher.HttpMethod, path: string): Promise<Buffer> {
    const chunks: Buffer[] = []
    const receiver: ResponseReceiver = {
      onHead: () => {},
      onData: (chunk) => {
        chunks.push(chunk)
        return undefined
      }
    }
    await exchange(this.pool, { method, path }, receiver, AbortSignal.timeout(REPORT_TIMEOUT_MS), {
      onResponseHead: this.onResponseHead,
      wasClosedCleanly: async () => await this.ends.wasClosedCleanly(),
      maxBodyBytes: MAX_REPORT_BYTES
    })
    return Buffer.concat(chunks)
  }

  close (): Promise<void> {
    return this.pool.destroy()
  }
}
