/**
 * Reports the usage of each window of the wall clock, once, from whichever control process holds the duty lease. What is
 * reported is decided in the replicated log before it is sent: whoever takes over sends the same.
 */
import { endOfWindow, SteadyWallClock, UsageTable, windowAt, type SourceWindow } from '@gullwall/control.usage'
import { type UsageReport } from '@gullwall/control.state'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type Link } from '@gullwall/transport.link'
import { type MessageOf } from '@gullwall/transport.messages'
import { LeaderLease, type AcquiredLease } from './leader-lease.ts'
import { type ControlServices } from './index.ts'
import { UsageStore } from './usage-store.ts'

/** How often the holder looks whether a report can be sent, in ms. */
const LOOK_MS = 250
/** After the end of a window the entries' last words of it are waited for, in ms: they tell each second, over busy links later. */
const SETTLE_MS = 2500
/** Where a peer does not answer, its entries tell another one within about this time, in ms; until then nothing is decided. */
const INCOMPLETE_MS = 6000
const GATHER_TIMEOUT_MS = 400
/** The first wait before a report that was not taken is sent again, doubled each time, with jitter. In ms. */
const FIRST_BACKOFF_MS = 300
const MAX_BACKOFF_MS = 2000

/** The counts of so many windows are kept on the disk: the one under way, the one before and one whose report is late. */
const KEPT_WINDOWS = 3

/** What is known of a window's usage, and whether every peer has answered. */
interface Gathered {
  isComplete: boolean
}

export class UsageReporter {
  private readonly table = new UsageTable()
  private readonly clock = new SteadyWallClock()
  private readonly startedAt = this.clock.now()
  private readonly lease: LeaderLease
  private readonly store: UsageStore
  /** The starts of entries that have told this process, now or before its restart. */
  private readonly localSources = new Set<string>()
  private timer: NodeJS.Timeout | undefined
  private isBusy = false
  /** Whether the counts from before the start are known, if any. */
  private isRestored = false
  private backoffMs = FIRST_BACKOFF_MS
  private nextTryAt = -Infinity

  constructor (private readonly services: ControlServices) {
    this.lease = new LeaderLease({
      leaseMs: services.settings.usage?.leaseMs ?? Infinity,
      leadingTerm: () => services.quorum.role === 'leader' ? services.quorum.status().term : undefined,
      confirmLeadership: async () => await services.quorum.confirmRead()
    })
    this.store = new UsageStore({ services, takeSnapshot: () => this.takeKept() })
  }

  async start (): Promise<void> {
    if (this.services.settings.usage === undefined || this.services.usageSink === undefined) {
      this.isRestored = true
      return
    }
    for (const { source, window, counts } of await this.store.read()) {
      this.localSources.add(source)
      this.table.merge(source, [{ window, counts }])
    }
    this.isRestored = true
    this.timer = setInterval(() => { void this.look() }, LOOK_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    this.store.stop()
  }

  /** Takes what an entry has counted. */
  receiveFromEntry ({ peer }: Link, { windows }: MessageOf<'usage'>): void {
    const source = `${peer.name}/${peer.startId}`
    this.localSources.add(source)
    this.table.merge(source, windows)
    if (this.services.settings.usage !== undefined) this.store.requestSave()
  }

  /**
   * Answers a peer that holds the lease.
   * @throws ERR_GULLWALL_NOT_READY while the counts from before the start are not read: it would take the rest for all
   */
  getUsageParts (window: number): MessageOf<'usageParts'> {
    if (!this.isRestored) {
      throw new GullwallError('ERR_GULLWALL_NOT_READY', 'the counts from before the start are not read yet', { step: 'tell usage', hint: 'ask again' })
    }
    return { kind: 'usageParts', sources: this.table.sourcesOf(window) }
  }

  /** What is written to the disk; sources without counts in any kept window are forgotten. */
  private takeKept (): SourceWindow[] {
    const kept = this.table.newest(KEPT_WINDOWS, (source) => this.localSources.has(source))
    this.localSources.clear()
    for (const { source } of kept) this.localSources.add(source)
    return kept
  }

  private async look (): Promise<void> {
    if (this.isBusy || this.services.quorum.role !== 'leader' || performance.now() < this.nextTryAt) return
    this.isBusy = true
    try {
      await this.reportNext()
    } catch (error) {
      this.services.logger.warn({ channel: 'usage', event: 'postponed', window: -1, why: messageOf(error) })
      this.backOff()
    } finally {
      this.isBusy = false
    }
  }

  private async reportNext (): Promise<void> {
    const window = this.nextWindow()
    if (window === undefined) return
    const fence = await this.lease.acquire()
    if (fence === undefined) return
    const report = this.services.state.usageReports.of(window) ?? await this.decide(window)
    if (report === undefined || report.isDelivered || !this.lease.isValid(fence)) return
    await this.deliver(report, fence)
  }

  /** The oldest window whose report is neither delivered nor overdue, once its last words have come. */
  private nextWindow (): number | undefined {
    const { windowMs, lateMs } = this.usage
    const { usageReports } = this.services.state
    const now = this.clock.now()
    const first = Math.max(windowAt(now - lateMs, windowMs), usageReports.isEmpty ? windowAt(this.startedAt, windowMs) : 0)
    for (let window = first; endOfWindow(window, windowMs) + SETTLE_MS <= now; window += 1) {
      if (usageReports.of(window)?.isDelivered !== true) return window
    }
    return undefined
  }

  private async decide (window: number): Promise<UsageReport | undefined> {
    const { isComplete } = await this.gather(window)
    const ageMs = this.clock.now() - endOfWindow(window, this.usage.windowMs)
    if (!isComplete && ageMs < INCOMPLETE_MS) return undefined
    return await this.services.proposer.decideUsage({ type: 'decide-usage', window, counts: this.table.totalOf(window) })
  }

  private async gather (window: number): Promise<Gathered> {
    const { peers, quorum } = this.services
    const links = peers.links()
    const answers = await Promise.allSettled(links.map(async (link) => (
      await link.request({ kind: 'usageOf', window }, 'usageParts', GATHER_TIMEOUT_MS)
    )))
    const parts = answers.flatMap((answer) => answer.status === 'fulfilled' ? [answer.value] : [])
    for (const { sources } of parts) {
      for (const { source, counts } of sources) this.table.merge(source, [{ window, counts }])
    }
    const others = Object.keys(quorum.membership.voters).filter((name) => name !== quorum.name).length
    return { isComplete: parts.length >= others }
  }

  private async deliver (report: UsageReport, { token, validUntil }: AcquiredLease): Promise<void> {
    const { settings, usageSink, proposer, logger } = this.services
    const { window, counts } = report
    const outcome = await usageSink?.deliver({ window, counts, holder: settings.box, token, validUntil }) ?? { type: 'failed', reason: 'no sink' }
    const facts = { channel: 'usage', window, token } as const
    switch (outcome.type) {
      case 'delivered':
        this.backoffMs = FIRST_BACKOFF_MS
        logger.info({ ...facts, event: 'reported', why: `${total(report)} requests of ${counts.length} organisations` })
        await proposer.recordUsageDelivered({ type: 'usage-delivered', window })
        break
      case 'fenced':
        this.lease.recordRefusedToken(token)
        logger.warn({ ...facts, event: 'fenced', why: 'a higher fencing token was seen; this term reports no more' })
        break
      case 'expired':
        logger.warn({ ...facts, event: 'postponed', why: 'the time of the fence was over before it was sent' })
        break
      case 'failed':
        logger.warn({ ...facts, event: 'postponed', why: outcome.reason })
        this.backOff(outcome.backoffMs)
        break
    }
  }

  private backOff (leastMs = 0): void {
    this.nextTryAt = performance.now() + Math.max(leastMs, this.backoffMs * (0.5 + Math.random()))
    this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.backoffMs)
  }

  private get usage () {
    const { usage } = this.services.settings
    if (usage === undefined) throw new Error('usage is not reported')
    return usage
  }
}

function total ({ counts }: UsageReport): number {
  return counts.reduce((sum, { begun }) => sum + begun, 0)
}
