/** The backoffs that endpoints requested from this process. They are not shared: an endpoint addresses each client individually. */
import { type EndpointRecord } from '@gullwall/core.logger'
import { Backoff, IDLE_RESET_MS, UNRESTRICTED_PERMIT, type BackoffPermit } from './backoff.ts'

/** At this size the oldest entry is dropped. One process reaches at most 12,000 endpoints in the largest deployment. */
const MAX_ENDPOINTS = 16_384
const MS_PER_SECOND = 1000

/** The start of a backoff, with its length in ms, or its end. */
export type BackoffTransition = { event: 'began', ms: number } | { event: 'ended' }

/** Creates the log record of a transition. */
export function createTransitionRecord (endpoint: string, transition: BackoffTransition): EndpointRecord {
  return transition.event === 'began'
    ? { channel: 'endpoint', event: 'backs-off', endpoint, why: `backoff of ${Math.round(transition.ms)} ms requested` }
    : { channel: 'endpoint', event: 'back', endpoint, why: 'backoff ended; slow start begins' }
}

export interface BackoffTableOptions {
  /** Called when an endpoint may accept more requests, so that waiting requests check again. */
  onPermitsAvailable: () => void
  /** Called when the backoff of an endpoint begins or ends. */
  onTransition?: (endpoint: string, transition: BackoffTransition) => void
  now?: () => number
}

/** Backoffs by endpoint. */
export class BackoffTable {
  /** The number of backoff requests since the process started. */
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

  /** The number of endpoints in backoff or slow start. */
  get size (): number {
    return this.backoffs.size
  }

  /** Returns the endpoints in backoff, with the remaining time in ms. */
  listActive (): Array<{ endpoint: string, leftMs: number }> {
    const now = this.now()
    return [...this.backoffs].flatMap(([endpoint, backoff]) => {
      const leftMs = backoff.remainingMs(now)
      return leftMs > 0 ? [{ endpoint, leftMs: Math.round(leftMs) }] : []
    })
  }

  /** Records that an endpoint requested a backoff of `ms`; ignores 0. */
  recordBackoff (endpoint: string, ms: number): void {
    if (ms <= 0) return
    this.requestedCount += 1
    const backoff = this.backoffs.get(endpoint) ?? this.add(endpoint)
    const now = this.now()
    if (backoff.extend(ms, now)) this.options.onTransition?.(endpoint, { event: 'began', ms })
    this.scheduleCheck(endpoint, backoff.remainingMs(now))
  }

  /** The remaining backoff of an endpoint in ms; 0 if none is active. */
  remainingMs (endpoint: string): number {
    if (this.backoffs.size === 0) return 0
    return this.backoffs.get(endpoint)?.remainingMs(this.now()) ?? 0
  }

  /** The number of requests that may be sent to an endpoint now; `Infinity` without backoff or slow start. */
  availablePermits (endpoint: string): number {
    if (this.backoffs.size === 0) return Infinity
    return this.backoffs.get(endpoint)?.availablePermits(this.now()) ?? Infinity
  }

  /** Describes why no request may be sent to an endpoint now; undefined if one may be sent. */
  findBlockReason (endpoint: string): string | undefined {
    if (this.availablePermits(endpoint) > 0) return undefined
    const leftMs = this.remainingMs(endpoint)
    return leftMs > 0
      ? `${endpoint} requested a backoff; ${(leftMs / MS_PER_SECOND).toFixed(1)} s remain`
      : `${endpoint} is in slow start after a backoff, and its window is full`
  }

  /** Returns a permit for a request that is sent now, or undefined if none is available. The caller must release the permit. */
  acquire (endpoint: string): BackoffPermit | undefined {
    const backoff = this.backoffs.get(endpoint)
    if (backoff === undefined) return UNRESTRICTED_PERMIT
    const permit = backoff.acquire(this.now())
    if (permit === undefined) return undefined
    const withUpdate = (record: () => void) => () => {
      record()
      this.dropIfFinished(endpoint, backoff)
      this.options.onPermitsAvailable()
    }
    return { recordResponse: withUpdate(permit.recordResponse), release: withUpdate(permit.release) }
  }

  /** Drops the backoff of an endpoint, for example because its process has ended. */
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

  /** Replaces the scheduled check: a backoff that starts during a slow start may end before that check. */
  private scheduleCheck (endpoint: string, ms: number): void {
    clearTimeout(this.timers.get(endpoint))
    // Timers may fire up to 1 ms early; the added 1 ms makes up for that.
    this.timers.set(endpoint, setTimeout(() => {
      this.timers.delete(endpoint)
      this.checkBackoff(endpoint)
    }, ms + 1))
  }

  private checkBackoff (endpoint: string): void {
    const backoff = this.backoffs.get(endpoint)
    if (backoff === undefined) return
    const leftMs = backoff.remainingMs(this.now())
    if (leftMs > 0) {
      this.scheduleCheck(endpoint, leftMs)
      return
    }
    this.dropIfFinished(endpoint, backoff)
    if (!this.backoffs.has(endpoint)) return
    this.scheduleCheck(endpoint, IDLE_RESET_MS)
    if (backoff.isEndReported) return
    backoff.isEndReported = true
    this.options.onTransition?.(endpoint, { event: 'ended' })
    this.options.onPermitsAvailable()
  }

  private dropIfFinished (endpoint: string, backoff: Backoff): void {
    if (this.backoffs.get(endpoint) === backoff && backoff.isFinished(this.now())) this.forget(endpoint)
  }
}
