/** Connections to endpoints: one pool for each incarnation, bounded by this entry's share. */
import { Pool, type Dispatcher } from 'undici'
import { type EndpointDescription } from '@gullwall/routing.balancer'

const KEEP_ALIVE_MS = 4000
const MAX_KEEP_ALIVE_MS = 60_000
const CONNECT_TIMEOUT_MS = 2000
/** What is left to callers other than the entries, and to entries that come and go. */
const SHARE_OF_CONNECTIONS = 0.8

export class Connections {
  private readonly pools = new Map<string, Pool>()

  /** Gives the dispatcher for one incarnation of an endpoint. */
  to ({ incarnation, address }: EndpointDescription, maxConnections: number, entries: number): Dispatcher {
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
      connect: { timeout: CONNECT_TIMEOUT_MS }
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

export function originOf (address: string): string {
  return `http://${address}`
}
