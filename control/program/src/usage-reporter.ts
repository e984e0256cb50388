/**
 * Reports the usage of each window of the wall clock once, from the control process that holds the lease. A report is decided in the
 * replicated log before it is sent, so that a new lease holder sends the same report.
 */
import { endOfWindow, SteadyWallClock, UsageTable, windowAt, type SourceWindow } from '@gullwall/control.usage'
import { type UsageReport } from '@gullwall/control.state'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type Link } from '@gullwall/transport.link'
import { type MessageOf } from '@gullwall/transport.messages'
import { LeaderLease, type AcquiredLease } from './leader-lease.ts'
import { type ControlServices } from './index.ts'
import { UsageStore } from './usage-store.ts'

/** Interval at which the leader checks whether a report is due, in ms. */
const CHECK_INTERVAL_MS = 250
/** Delay of a report after the end of its window, in ms. Entries send their counts every second, and later over busy links. */
const REPORT_DELAY_MS = 2500
/** Time after the end of a window until a report is decided without all peers, in ms. Entries of a failed peer use another one by then. */
const INCOMPLETE_TIMEOUT_MS = 6000
const GATHER_TIMEOUT_MS = 400
/** Backoff after the first failed delivery, in ms. The backoff doubles with each further failure and has jitter. */
const FIRST_BACKOFF_MS = 300
const MAX_BACKOFF_MS = 2000

/** Number of windows whose counts are stored on the disk: the current one, the previous one and one with a late report. */
const STORED_WINDOWS = 3

/** The result of collecting the usage of a window from the peers. */
interface GatherResult {
  /** Whether every peer has answered. */
  isComplete: boolean
}

export class UsageReporter {
  private readonly table = new UsageTable()
  private readonly clock = new SteadyWallClock()
  private readonly startedAt = this.clock.now()
  private readonly lease: LeaderLease
  private readonly store: UsageStore
  /** The entry starts that reported to this process, including those before its own restart. */
  private readonly localSources = new Set<string>()
  private timer: NodeJS.Timeout | undefined
  private isBusy = false
  /** Whether the stored counts have been read. */
  private isRestored = false
  private backoffMs = FIRST_BACKOFF_MS
  private retryAt = -Infinity

  constructor (private readonly services: ControlServices) {
    this.lease = new LeaderLease({
      leaseMs: services.settings.usage?.leaseMs ?? Infinity,
      leadingTerm: () => services.quorum.role === 'leader' ? services.quorum.status().term : undefined,
      confirmLeadership: async () => await services.quorum.confirmRead()
    })
    this.store = new UsageStore({ services, takeSnapshot: () => this.takeStoredCounts() })
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
    this.timer = setInterval(() => { void this.reportIfDue() }, CHECK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    this.store.stop()
  }

  /** Receives the counts of an entry. */
  receiveFromEntry ({ peer }: Link, { windows }: MessageOf<'usage'>): void {
    const source = `${peer.name}/${peer.startId}`
    this.localSources.add(source)
    this.table.merge(source, windows)
    if (this.services.settings.usage !== undefined) this.store.requestSave()
  }

  /**
   * Returns the counts of a window for the peer that holds the lease.
   * @throws ERR_GULLWALL_NOT_READY until the stored counts are read, because the peer would take partial counts for complete ones
   */
  getUsageParts (window: number): MessageOf<'usageParts'> {
    if (!this.isRestored) {
      throw new GullwallError('ERR_GULLWALL_NOT_READY', 'the stored counts are not read yet', { step: 'tell usage', hint: 'repeat the request' })
    }
    return { kind: 'usageParts', sources: this.table.sourcesOf(window) }
  }

  /** Returns the counts to store. Removes sources that have no counts in any stored window. */
  private takeStoredCounts (): SourceWindow[] {
    const stored = this.table.newest(STORED_WINDOWS, (source) => this.localSources.has(source))
    this.localSources.clear()
    for (const { source } of stored) this.localSources.add(source)
    return stored
  }

  private async reportIfDue (): Promise<void> {
    if (this.isBusy || this.services.quorum.role !== 'leader' || performance.now() < this.retryAt) return
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
    const window = this.findDueWindow()
    if (window === undefined) return
    const acquiredLease = await this.lease.acquire()
    if (acquiredLease === undefined) return
    const report = this.services.state.usageReports.of(window) ?? await this.decide(window)
    if (report === undefined || report.isDelivered || !this.lease.isValid(acquiredLease)) return
    await this.deliver(report, acquiredLease)
  }

  /** Returns the oldest window whose report is neither delivered nor too late, if its last counts have had time to arrive. */
  private findDueWindow (): number | undefined {
    const { windowMs, lateMs } = this.usage
    const { usageReports } = this.services.state
    const now = this.clock.now()
    const first = Math.max(windowAt(now - lateMs, windowMs), usageReports.isEmpty ? windowAt(this.startedAt, windowMs) : 0)
    for (let window = first; endOfWindow(window, windowMs) + REPORT_DELAY_MS <= now; window += 1) {
      if (usageReports.of(window)?.isDelivered !== true) return window
    }
    return undefined
  }

  private async decide (window: number): Promise<UsageReport | undefined> {
    const { isComplete } = await this.gather(window)
    const ageMs = this.clock.now() - endOfWindow(window, this.usage.windowMs)
    if (!isComplete && ageMs < INCOMPLETE_TIMEOUT_MS) return undefined
    return await this.services.proposer.decideUsage({ type: 'decide-usage', window, counts: this.table.totalOf(window) })
  }

  private async gather (window: number): Promise<GatherResult> {
    const { peers, quorum } = this.services
    const links = peers.links()
    const answers = await Promise.allSettled(links.map(async (link) => (
      await link.request({ kind: 'usageOf', window }, 'usageParts', GATHER_TIMEOUT_MS)
    )))
    const parts = answers.flatMap((answer) => answer.status === 'fulfilled' ? [answer.value] : [])
    for (const { sources } of parts) {
      for (const { source, counts } of sources) this.table.merge(source, [{ window, counts }])
    }
    const otherVoters = Object.keys(quorum.membership.voters).filter((name) => name !== quorum.name).length
    return { isComplete: parts.length >= otherVoters }
  }

  private async deliver (report: UsageReport, { token, validUntil }: AcquiredLease): Promise<void> {
    const { settings, usageSink, proposer, logger } = this.services
    const { window, counts } = report
    const outcome = await usageSink?.deliver({ window, counts, holder: settings.box, token, validUntil }) ?? { type: 'failed', reason: 'no sink is configured' }
    const record = { channel: 'usage', window, token } as const
    switch (outcome.type) {
      case 'delivered':
        this.backoffMs = FIRST_BACKOFF_MS
        logger.info({ ...record, event: 'reported', why: `${sumRequests(report)} requests of ${counts.length} organisations` })
        await proposer.recordUsageDelivered({ type: 'usage-delivered', window })
        break
      case 'fenced':
        this.lease.recordRefusedToken(token)
        logger.warn({ ...record, event: 'fenced', why: 'a higher fencing token was received; this process reports nothing more in this term' })
        break
      case 'expired':
        logger.warn({ ...record, event: 'postponed', why: 'the lease expired before the report was sent' })
        break
      case 'failed':
        logger.warn({ ...record, event: 'postponed', why: outcome.reason })
        this.backOff(outcome.backoffMs)
        break
    }
  }

  private backOff (leastMs = 0): void {
    this.retryAt = performance.now() + Math.max(leastMs, this.backoffMs * (0.5 + Math.random()))
    this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.backoffMs)
  }

  private get usage () {
    const { usage } = this.services.settings
    if (usage === undefined) throw new Error('usage reporting is not configured')
    return usage
  }
}

function sumRequests ({ counts }: UsageReport): number {
  return counts.reduce((total, { begun }) => total + begun, 0)
}
