/** The endpoints that asked one process to be left alone. Each process keeps what it was asked itself: the word is meant for it. */
import { type EndpointRecord } from '@gullwall/core.logger'
import { Backoff, IDLE_RESET_MS, UNRESTRICTED_PERMIT, type BackoffPermit } from './backoff.ts'

/** So many endpoints are remembered at most, more than one process reaches in the largest deployment (12,000); the oldest gives way. */
const MAX_ENDPOINTS = 16_384
const MS_PER_SECOND = 1000

/** The time for which an endpoint is left alone has begun, or is over. */
export type BackoffTransition = { event: 'began', ms: number } | { event: 'ended' }

/** The log line of a turn. */
export function createTransitionRecord (endpoint: string, turn: BackoffTransition): EndpointRecord {
  return turn.event === 'began'
    ? { channel: 'endpoint', event: 'backs-off', endpoint, why: `it wants nothing for ${Math.round(turn.ms)} ms` }
    : { channel: 'endpoint', event: 'back', endpoint, why: 'its time is over; slow start' }
}

export interface BackoffTableOptions {
  /** The time of one endpoint is over, or it takes more: requests that wait look again. */
  onPermitsAvailable: () => void
  /** Told when an endpoint first asks, and when its time is over. */
  onTransition?: (endpoint: string, turn: BackoffTransition) => void
  now?: () => number
}

export class BackoffTable {
  /** How often endpoints asked, since the start. */
  requestedCount = 0
  private readonly backoffs = new Map<string, Backoff>()
  private readonly timers = new Map<string, NodeJS.Timeout>()
  private readonly now: () => number

  constructor (private readonly options: BackoffTableOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  stop (): void {
    for (const endpoint of [...this.backoffs.keys()]) this.forget(endpoint)
  }

  /** Endpoints that are left alone, or come back from it. */
  get size (): number {
    return this.backoffs.size
  }

  /** The endpoints that are left alone now, with what is left of their time in ms. */
  listActive (): Array<{ endpoint: string, leftMs: number }> {
    const now = this.now()
    return [...this.backoffs].flatMap(([endpoint, backoff]) => {
      const leftMs = backoff.remainingMs(now)
      return leftMs > 0 ? [{ endpoint, leftMs: Math.round(leftMs) }] : []
    })
  }

  /** Takes word of an endpoint that wants nothing more for so long, in ms. */
  recordBackoff (endpoint: string, ms: number): void {
    if (ms <= 0) return
    this.requestedCount += 1
    const backoff = this.backoffs.get(endpoint) ?? this.add(endpoint)
    const now = this.now()
    if (backoff.extend(ms, now)) this.options.onTransition?.(endpoint, { event: 'began', ms })
    this.lookIn(endpoint, backoff.remainingMs(now))
  }

  /** For how long an endpoint is left alone, in ms; 0 where it is not. */
  remainingMs (endpoint: string): number {
    if (this.backoffs.size === 0) return 0
    return this.backoffs.get(endpoint)?.remainingMs(this.now()) ?? 0
  }

  /** How many requests may be sent to an endpoint now; no bound where it asked for nothing. */
  availablePermits (endpoint: string): number {
    if (this.backoffs.size === 0) return Infinity
    return this.backoffs.get(endpoint)?.availablePermits(this.now()) ?? Infinity
  }

  /** Why an endpoint gets nothing now; undefined if it does. */
  findBlockReason (endpoint: string): string | undefined {
    if (this.availablePermits(endpoint) > 0) return undefined
    const leftMs = this.remainingMs(endpoint)
    return leftMs > 0
      ? `${endpoint} wants nothing for ${(leftMs / MS_PER_SECOND).toFixed(1)} s more`
      : `${endpoint} comes back from a rest, and is being tried`
  }

  /** Takes leave for one request that is sent now; undefined if there is none. The caller must release it in the end. */
  acquire (endpoint: string): BackoffPermit | undefined {
    const backoff = this.backoffs.get(endpoint)
    if (backoff === undefined) return UNRESTRICTED_PERMIT
    const permit = backoff.acquire(this.now())
    if (permit === undefined) return undefined
    const settled = (settle: () => void) => () => {
      settle()
      this.lookAt(endpoint, backoff)
      this.options.onPermitsAvailable()
    }
    return { recordResponse: settled(permit.recordResponse), release: settled(permit.release) }
  }

  /** Forgets what an endpoint asked for, since it has ended. */
  forget (endpoint: string): void {
    clearTimeout(this.timers.get(endpoint))
    this.timers.delete(endpoint)
    this.backoffs.delete(endpoint)
  }

  private add (endpoint: string): Backoff {
    const [oldest] = this.backoffs.keys()
    if (this.backoffs.size >= MAX_ENDPOINTS && oldest !== undefined) this.forget(oldest)
    const backoff = new Backoff()
    this.backoffs.set(endpoint, backoff)
    return backoff
  }

  /** Looks in so long, and not at the time that was set before: a rest that is asked for in the slow start ends sooner than that. */
  private lookIn (endpoint: string, ms: number): void {
    clearTimeout(this.timers.get(endpoint))
    // Timers may fire up to 1 ms early.
    this.timers.set(endpoint, setTimeout(() => {
      this.timers.delete(endpoint)
      this.timePassed(endpoint)
    }, ms + 1))
  }

  private timePassed (endpoint: string): void {
    const backoff = this.backoffs.get(endpoint)
    if (backoff === undefined) return
    const leftMs = backoff.remainingMs(this.now())
    if (leftMs > 0) {
      this.lookIn(endpoint, leftMs)
      return
    }
    this.lookAt(endpoint, backoff)
    if (!this.backoffs.has(endpoint)) return
    this.lookIn(endpoint, IDLE_RESET_MS)
    if (backoff.isEndReported) return
    backoff.isEndReported = true
    this.options.onTransition?.(endpoint, { event: 'ended' })
    this.options.onPermitsAvailable()
  }

  private lookAt (endpoint: string, backoff: Backoff): void {
    if (this.backoffs.get(endpoint) === backoff && backoff.isFinished(this.now())) this.forget(endpoint)
  }
}
