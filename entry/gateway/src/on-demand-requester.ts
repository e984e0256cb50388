/**
 * Requests grants from control for single requests, which wait for the response. An endpoint with a low limit has no grants to spare
 * for boxes that request them in advance. One message is in flight at a time; it covers all requests that wait when it is sent.
 */
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { type Grant, type GrantRequest } from '@gullwall/transport.messages'
import { grantRequestSpacingMs } from './grant-requester.ts'
import { type GrantPool } from './grant-pool.ts'

/** Time for which a request waits for the response of control, in ms; then another endpoint is chosen. */
const RESPONSE_TIMEOUT_MS = 100
/** Time until the next message after one without a response, in ms: an election of a new leader takes about a second. */
const FAILED_SPACING_MS = 400
/** Maximum number of endpoints in a message. */
const MAX_ENDPOINTS = 32
/** Maximum time between two messages, in ms. It bounds the wait of requests, even if many boxes then exceed the rate of control. */
const MAX_SPACING_MS = 50

export interface OnDemandRequesterOptions {
  logger: Logger
  /** Sends grant requests to control; rejects if control does not respond. */
  requestGrants: (grantRequests: GrantRequest[]) => Promise<Grant[]>
  /** Wakes the requests that wait for an endpoint. */
  wake: () => void
  now: () => number
  grantPool: GrantPool
  /** Number of boxes that request grants. */
  entryCount: () => number
}

/** A grant request without the number of requests. */
export type OnDemandGrantRequest = Omit<GrantRequest, 'requests'>

/** The requests that wait for a grant of one endpoint. */
interface Pending {
  wanted: OnDemandGrantRequest
  waiters: Array<() => void>
}

export class OnDemandRequester {
  /** Counts since the start: messages, those without a response, requests that were granted, and endpoints that were refused. */
  readonly totals = { requests: 0, failed: 0, granted: 0, refused: 0 }
  private pending = new Map<string, Pending>()
  /** Earliest time of the next grant request, by incarnation that control has refused. */
  private readonly notBefore = new Map<string, number>()
  /** Until when no grants are requested, after a message without a response. */
  private suspendedUntil = -Infinity
  private nextRequestAt = -Infinity
  private isRequesting = false
  private wakeTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: OnDemandRequesterOptions) {}

  stop (): void {
    clearTimeout(this.wakeTimer)
  }

  forget (incarnation: string): void {
    this.notBefore.delete(incarnation)
  }

  /** Returns the time until a grant for an endpoint may be requested, in ms; 0 if it may be now. */
  waitMs (incarnation: string): number {
    const now = this.options.now()
    return Math.max(0, this.suspendedUntil - now, (this.notBefore.get(incarnation) ?? -Infinity) - now)
  }

  /** Requests a grant for one request; resolves when control has responded or the wait has timed out. */
  async requestGrant (wanted: OnDemandGrantRequest): Promise<void> {
    if (this.waitMs(wanted.incarnation) > 0) return
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, RESPONSE_TIMEOUT_MS)
      const pending = this.pending.get(wanted.incarnation) ?? { wanted, waiters: [] }
      pending.waiters.push(() => {
        clearTimeout(timer)
        resolve()
      })
      this.pending.set(wanted.incarnation, pending)
      if (!this.isRequesting) void this.sendAll()
    })
  }

  /** Sends messages until no request waits. */
  private async sendAll (): Promise<void> {
    this.isRequesting = true
    // One message covers all requests that begin to wait in the same turn.
    await Promise.resolve()
    while (this.pending.size > 0) {
      const delayMs = this.nextRequestAt - this.options.now()
      if (delayMs > 0) await new Promise((resolve) => { setTimeout(resolve, delayMs) })
      await this.sendOne()
    }
    this.isRequesting = false
  }

  private async sendOne (): Promise<void> {
    const { requestGrants, now, entryCount, logger } = this.options
    const batch = [...this.pending.values()].slice(0, MAX_ENDPOINTS)
    for (const { wanted } of batch) this.pending.delete(wanted.incarnation)
    const requestedAt = now()
    this.totals.requests += 1
    this.nextRequestAt = requestedAt + Math.min(MAX_SPACING_MS, grantRequestSpacingMs(entryCount()))
    try {
      const grants = await requestGrants(batch.map(({ wanted, waiters }) => ({ ...wanted, requests: waiters.length })))
      for (const grant of grants) this.recordGrant(grant, requestedAt)
    } catch (error) {
      this.totals.failed += 1
      this.suspendedUntil = now() + FAILED_SPACING_MS
      logger.sampled('not-granted', {
        channel: 'endpoint', event: 'not-granted', endpoint: batch[0]?.wanted.incarnation ?? '', why: messageOf(error)
      })
    }
    for (const { waiters } of batch) for (const resolveWaiter of waiters) resolveWaiter()
    this.scheduleWake()
  }

  /** Records a grant or a refusal. Its time counts from the request, since control does not know how long the response is in transit. */
  private recordGrant ({ incarnation, requests, withinMs, perSecond }: Grant, requestedAt: number): void {
    const { grantPool, now } = this.options
    const until = requestedAt + withinMs
    // A grant without `perSecond` comes from a control process that does not support limits, and is not valid for a limited endpoint.
    if (requests > 0 && perSecond !== undefined) {
      this.totals.granted += requests
      grantPool.add(incarnation, { requests, until }, now())
    } else {
      this.totals.refused += 1
      this.notBefore.set(incarnation, until)
    }
  }

  /** Wakes the waiting requests when a grant may be requested again, since no new request may arrive by then. */
  private scheduleWake (): void {
    const now = this.options.now()
    for (const [incarnation, at] of this.notBefore) if (at <= now) this.notBefore.delete(incarnation)
    clearTimeout(this.wakeTimer)
    const firstAllowedAt = Math.max(this.suspendedUntil, Math.min(...this.notBefore.values()))
    if (!Number.isFinite(firstAllowedAt) || firstAllowedAt <= now) return
    this.wakeTimer = setTimeout(() => {
      this.options.wake()
      this.scheduleWake()
    }, firstAllowedAt - now + 1).unref()
  }
}
