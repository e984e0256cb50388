/**
 * Asks control for leave to send single requests, which wait for the answer: an endpoint that takes few requests from all boxes
 * has none to spare for a box that might have a use for them later. One ask at a time, for all that wait by then.
 */
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { type Grant, type GrantRequest } from '@gullwall/transport.messages'
import { grantRequestSpacingMs } from './grant-requester.ts'
import { type GrantPool } from './grant-pool.ts'

/** A request waits for an answer of control for so long, in ms; then it goes elsewhere. */
const PATIENCE_MS = 100
/** After an ask that was not answered nothing is asked for so long, in ms: nobody may lead for a second or so. */
const FAILED_SPACING_MS = 400
/** One ask names so many endpoints at most. */
const MAX_WISHES = 32
/** Many boxes together ask more than control is to answer rather than let requests wait longer between two asks, in ms. */
const MAX_SPACING_MS = 50

export interface OnDemandRequesterOptions {
  logger: Logger
  requestGrants: (wishes: GrantRequest[]) => Promise<Grant[]>
  /** Has requests that wait for an endpoint look again. */
  wake: () => void
  now: () => number
  grantPool: GrantPool
  /** How many boxes ask. */
  entryCount: () => number
}

/** What is asked for, but how many. */
export type OnDemandGrantRequest = Omit<GrantRequest, 'requests'>

interface Pending {
  wanted: OnDemandGrantRequest
  waiters: Array<() => void>
}

export class OnDemandRequester {
  /** Since the start: asks, those that nobody answered, wishes that were granted and refused. */
  readonly totals = { requests: 0, failed: 0, granted: 0, refused: 0 }
  private pending = new Map<string, Pending>()
  /** Endpoints that were refused, and until when they are not asked for again. */
  private readonly notBefore = new Map<string, number>()
  private closedUntil = -Infinity
  private nextAskAt = -Infinity
  private isAsking = false
  private wakeTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: OnDemandRequesterOptions) {}

  stop (): void {
    clearTimeout(this.wakeTimer)
  }

  forget (incarnation: string): void {
    this.notBefore.delete(incarnation)
  }

  /** In which time an endpoint may be asked for, in ms; 0 where it may be now. */
  waitMs (incarnation: string): number {
    const now = this.options.now()
    return Math.max(0, this.closedUntil - now, (this.notBefore.get(incarnation) ?? -Infinity) - now)
  }

  /** Asks for one request, and resolves once control has answered or the request should not wait any longer. */
  async requestGrant (wanted: OnDemandGrantRequest): Promise<void> {
    if (this.waitMs(wanted.incarnation) > 0) return
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, PATIENCE_MS)
      const pending = this.pending.get(wanted.incarnation) ?? { wanted, waiters: [] }
      pending.waiters.push(() => {
        clearTimeout(timer)
        resolve()
      })
      this.pending.set(wanted.incarnation, pending)
      if (!this.isAsking) void this.askAll()
    })
  }

  /** Asks for as long as requests wait. */
  private async askAll (): Promise<void> {
    this.isAsking = true
    // All that begin to wait in the same turn are asked for together.
    await Promise.resolve()
    while (this.pending.size > 0) {
      const restMs = this.nextAskAt - this.options.now()
      if (restMs > 0) await new Promise((resolve) => { setTimeout(resolve, restMs) })
      await this.askOnce()
    }
    this.isAsking = false
  }

  private async askOnce (): Promise<void> {
    const { requestGrants, now, entryCount, logger } = this.options
    const asked = [...this.pending.values()].slice(0, MAX_WISHES)
    for (const { wanted } of asked) this.pending.delete(wanted.incarnation)
    const askedAt = now()
    this.totals.requests += 1
    this.nextAskAt = askedAt + Math.min(MAX_SPACING_MS, grantRequestSpacingMs(entryCount()))
    try {
      const grants = await requestGrants(asked.map(({ wanted, waiters }) => ({ ...wanted, requests: waiters.length })))
      for (const grant of grants) this.note(grant, askedAt)
    } catch (error) {
      this.totals.failed += 1
      this.closedUntil = now() + FAILED_SPACING_MS
      logger.sampled('not-granted', {
        channel: 'endpoint', event: 'not-granted', endpoint: asked[0]?.wanted.incarnation ?? '', why: messageOf(error)
      })
    }
    for (const { waiters } of asked) for (const done of waiters) done()
    this.wakeLater()
  }

  /** The time of a grant and of a refusal runs from the ask: control can't know for how long the answer was under way. */
  private note ({ incarnation, requests, withinMs, perSecond }: Grant, askedAt: number): void {
    const { grantPool, now } = this.options
    const until = askedAt + withinMs
    // Control that does not know of limits grants without regard to them.
    if (requests > 0 && perSecond !== undefined) {
      this.totals.granted += requests
      grantPool.add(incarnation, { requests, until }, now())
    } else {
      this.totals.refused += 1
      this.notBefore.set(incarnation, until)
    }
  }

  /** Requests that wait look again once an endpoint may be asked for: there may be no other arrival until then. */
  private wakeLater (): void {
    const now = this.options.now()
    for (const [incarnation, at] of this.notBefore) if (at <= now) this.notBefore.delete(incarnation)
    clearTimeout(this.wakeTimer)
    const soonest = Math.max(this.closedUntil, Math.min(...this.notBefore.values()))
    if (!Number.isFinite(soonest) || soonest <= now) return
    this.wakeTimer = setTimeout(() => {
      this.options.wake()
      this.wakeLater()
    }, soonest - now + 1).unref()
  }
}
