/** What the HTTP dialects have in common: one pool of connections to a back end by undici. */
import { Pool, type Dispatcher } from 'undici'
import { GullwallError } from '@gullwall/core.error'
import { type ResponseReceiver, type Endpoint, type EndpointCall, type ResponseHeadListener } from '@gullwall/endpoint.dialect'
import { exchange } from './exchange.ts'

export { exchange } from './exchange.ts'

/** Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])
const CONNECT_TIMEOUT_MS = 2000
/** Errors that arise before the first byte of a request is sent. */
const NOT_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL'])

/** Opens a pool of keep-alive connections to an address. */
export function createPool (address: string): Pool {
  return new Pool(`http://${address}`, {
    connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: { timeout: CONNECT_TIMEOUT_MS }
  })
}

/** Gives the headers that may be passed on, without those named in `Connection` either. */
export function selectEndToEndHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string | string[]> {
  const named = String(headers['connection'] ?? '').toLowerCase().split(',').map((name) => name.trim())
  const kept: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase()
    if (value === undefined || HOP_BY_HOP.has(lower) || named.includes(lower)) continue
    kept[lower] = value
  }
  return kept
}

/** Tells whether an error proves that nothing of the request was sent. */
export function wasNotSent (error: unknown): boolean {
  return NOT_SENT.has((error as NodeJS.ErrnoException).code ?? '')
}

/** A back end reached by HTTP. */
export class HttpEndpoint implements Endpoint {
  private readonly pool: Pool

  /** @param onAnyHead told of each head that arrives */
  constructor (
    private readonly name: string, private readonly address: string, private readonly onAnyHead: ResponseHeadListener = () => {}
  ) {
    this.pool = createPool(address)
  }

  async run (call: EndpointCall, receiver: ResponseReceiver): Promise<void> {
    const options = { method: call.method as Dispatcher.HttpMethod, path: call.path, headers: call.headers, body: call.body }
    try {
      await exchange(this.pool, options, receiver, call.signal, this.onAnyHead)
    } catch (cause) {
      const certain = wasNotSent(cause)
      throw new GullwallError(certain ? 'ERR_GULLWALL_ENDPOINT_REFUSED' : 'ERR_GULLWALL_ENDPOINT_FAILED',
        certain ? 'the endpoint takes no connection' : 'the endpoint failed before its answer was whole',
        { step: 'run', peer: `${this.name}@${this.address}`, cause })
    }
  }

  /** Reads a JSON page of the back end. */
  async getJson (path: string): Promise<unknown> {
    return await (await this.ask('GET', path)).body.json()
  }

  async probe (): Promise<void> {
    await (await this.ask('HEAD', '/')).body.dump()
  }

  private async ask (method: Dispatcher.HttpMethod, path: string): Promise<Dispatcher.ResponseData> {
    const sentAt = performance.now()
    const answer = await this.pool.request({ method, path, headersTimeout: CONNECT_TIMEOUT_MS, bodyTimeout: CONNECT_TIMEOUT_MS })
    this.onAnyHead({ status: answer.statusCode, headers: answer.headers, sentAt })
    return answer
  }

  close (): Promise<void> {
    return this.pool.destroy()
  }
}
