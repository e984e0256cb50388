/** Connections to endpoints: one pool for each incarnation, bounded by this entry's share. */
import { type Socket } from 'node:net'
import { buildConnector, Pool, type Dispatcher } from 'undici'
import { type EndpointDescription } from '@gullwall/routing.balancer'

const KEEP_ALIVE_MS = 4000
const MAX_KEEP_ALIVE_MS = 60_000
const CONNECT_TIMEOUT_MS = 2000
/** What is left to callers other than the entries, and to entries that come and go. */
const SHARE_OF_CONNECTIONS = 0.8

/** Told the data centre of an endpoint and how long the connection took to be made, in ms. */
export type ConnectedListener = (dataCentre: string, tookMs: number) => void

export class Connections {
  private readonly pools = new Map<string, Pool>()
  private readonly connector = watchedConnector((check) => { this.latestEnd = check })
  private latestEnd: Promise<boolean> = Promise.resolve(false)

  constructor (private readonly onConnected: ConnectedListener = () => {}) {}

  /**
   * Whether the connection that is ending in this very moment was closed by the endpoint and not reset. Asked by an
   * answer that ends with its connection.
   */
  async wasClosedCleanly (): Promise<boolean> {
    return await this.latestEnd
  }

  /** Gives the dispatcher for one incarnation of an endpoint. */
  dispatcherFor ({ incarnation, address, dataCentre }: EndpointDescription, maxConnections: number, entries: number): Dispatcher {
    const known = this.pools.get(incarnation)
    if (known !== undefined) return known
    const connections = Math.max(2, Math.floor(maxConnections * SHARE_OF_CONNECTIONS / Math.max(1, entries)))
    const pool = new Pool(originOf(address), {
      connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: timedConnector(this.connector, (tookMs) => this.onConnected(dataCentre, tookMs))
    })
    this.pools.set(incarnation, pool)
    return pool
  }

  /** Closes the connections to an incarnation once its work has ended. */
  forget (incarnation: string): void {
    const pool = this.pools.get(incarnation)
    this.pools.delete(incarnation)
    pool?.close().catch(() => {})
  }

  async stop (): Promise<void> {
    const pools = [...this.pools.values()]
    this.pools.clear()
    await Promise.all(pools.map(async (pool) => await pool.destroy()))
  }
}

/**
 * Tells how a connection ends before the HTTP client sees it. The client takes what has arrived of an answer without a
 * length for the whole of it also when the connection was reset, and the runtime reports a reset that arrives together
 * with data as an ordinary end.
 */
function watchedConnector (onEnding: (wasClosedWell: Promise<boolean>) => void): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  return (options, callback) => {
    connect(options, (...result) => {
      const socket: Socket | null = result[1]
      socket?.prependListener('end', () => onEnding(takesBytes(socket)))
      socket?.prependListener('error', () => onEnding(Promise.resolve(false)))
      callback(...result)
    })
  }
}

/** Tells how long connections take to be made. */
function timedConnector (connect: buildConnector.connector, onConnected: (tookMs: number) => void): buildConnector.connector {
  return (options, callback) => {
    const startedAt = performance.now()
    connect(options, (...result) => {
      if (result[1] !== null) onConnected(performance.now() - startedAt)
      callback(...result)
    })
  }
}

/** A connection that was reset refuses a write at once; one whose other end has closed still takes it. */
async function takesBytes (socket: Socket): Promise<boolean> {
  return await new Promise((resolve) => {
    socket.write('\r\n', (error) => resolve(error == null))
  })
}

export function originOf (address: string): string {
  return `http://${address}`
}
