/** Connection pools to endpoints: one for each incarnation, limited to this entry's share of the endpoint's connections. */
import { Pool, type buildConnector, type Dispatcher } from 'undici'
import { ConnectionEnds, EndlessResponseError } from '@gullwall/endpoint.http'
import { type EndpointDescription } from '@gullwall/routing.balancer'

const KEEP_ALIVE_MS = 4000
const MAX_KEEP_ALIVE_MS = 60_000
const CONNECT_TIMEOUT_MS = 2000
/** Share of an endpoint's connections that the entries use; the rest is for other callers and for entries that join. */
const SHARE_OF_CONNECTIONS = 0.8
/** Minimum number of connections of one entry to an endpoint. */
const MIN_CONNECTIONS = 2

/** The error with which the HTTP client closes a connection on which a response arrives while no request waits for one. */
const UNSOLICITED_RESPONSE = 'bad response'

export interface ConnectionListener {
  /** Called with the data centre of an endpoint and the time that it took to connect, in ms. */
  onConnected: (dataCentre: string, tookMs: number) => void
  /** Called when a connection was closed because bytes came while no request waited for a response. */
  onUnsolicited: (endpoint: EndpointDescription) => void
}

const NO_LISTENER: ConnectionListener = { onConnected: () => {}, onUnsolicited: () => {} }

interface LimitedPool {
  pool: Pool
  /** Maximum number of connections. */
  limit: number
}

export class Connections {
  private readonly pools = new Map<string, LimitedPool>()
  /** Number of connections that were closed because of a response that nobody waited for. */
  unsolicitedCount = 0
  private readonly ends = new ConnectionEnds()
  private readonly connector = this.ends.createConnector(CONNECT_TIMEOUT_MS)

  constructor (private readonly listener = NO_LISTENER) {}

  /**
   * Returns whether the connection that is ending at this moment was closed by the endpoint rather than reset. Used for an answer
   * whose end is marked by the end of its connection.
   */
  async wasClosedCleanly (): Promise<boolean> {
    return await this.ends.wasClosedCleanly()
  }

  /**
   * Returns the dispatcher for one incarnation of an endpoint. A pool that was created when fewer entries were known is replaced once
   * the entries together could open more connections than the endpoint accepts.
   */
  dispatcherFor (endpoint: EndpointDescription, maxConnections: number, entries: number): Dispatcher {
    const known = this.pools.get(endpoint.incarnation)
    const limit = Math.max(MIN_CONNECTIONS, Math.floor(maxConnections * SHARE_OF_CONNECTIONS / Math.max(1, entries)))
    if (known !== undefined && (known.limit <= limit || known.limit * entries <= maxConnections)) return known.pool
    this.forget(endpoint.incarnation)
    const pool = this.createPool(endpoint, limit)
    this.pools.set(endpoint.incarnation, { pool, limit })
    return pool
  }

  private createPool (endpoint: EndpointDescription, connections: number): Pool {
    const { address, dataCentre } = endpoint
    const pool = new Pool(originOf(address), {
      connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: timedConnector(this.connector, (tookMs) => this.listener.onConnected(dataCentre, tookMs))
    })
    pool.on('disconnect', (_origin, _targets, error) => {
      if (!isUnsolicited(error)) return
      this.unsolicitedCount += 1
      this.listener.onUnsolicited(endpoint)
    })
    return pool
  }

  /** Closes the connections to an incarnation once its running requests have ended. */
  forget (incarnation: string): void {
    const known = this.pools.get(incarnation)
    this.pools.delete(incarnation)
    known?.pool.close().catch(() => {})
  }

  async stop (): Promise<void> {
    const pools = [...this.pools.values()]
    this.pools.clear()
    await Promise.all(pools.map(async ({ pool }) => await pool.destroy()))
  }
}

/** Whether a connection was closed because bytes came while no request waited for a response. */
function isUnsolicited (error: Error): boolean {
  return error.message === UNSOLICITED_RESPONSE || (error instanceof EndlessResponseError && error.place === 'idle')
}

/** Reports how long it takes to connect. */
function timedConnector (connect: buildConnector.connector, onConnected: (tookMs: number) => void): buildConnector.connector {
  return (options, callback) => {
    const startedAt = performance.now()
    connect(options, (...result) => {
      // The HTTP client gives no second argument with an error.
      if (result[1] != null) onConnected(performance.now() - startedAt)
      callback(...result)
    })
  }
}

export function originOf (address: string): string {
  return `http://${address}`
}
