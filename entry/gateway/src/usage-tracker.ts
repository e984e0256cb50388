/** Counts for each organisation the requests that began to run, and reports the counts to control. */
import { SteadyWallClock, UsageCounter, windowAt } from '@gullwall/control.usage'
import { type Link } from '@gullwall/transport.link'
import { type GatewayServices } from './index.ts'

/** Interval of the reports, in ms: a process that crashes loses what it has counted since its last report. */
const REPORT_MS = 100

export class UsageTracker {
  private readonly counter = new UsageCounter()
  private readonly clock = new SteadyWallClock()
  private timer: NodeJS.Timeout | undefined
  /** The link over which the last report was sent; the first report over another link contains all counts. */
  private lastLink: Link | undefined

  constructor (private readonly services: Pick<GatewayServices, 'settings' | 'controlLinks'>) {}

  start (): void {
    if (this.services.settings.usageWindowMs !== undefined) this.timer = setInterval(() => this.report(), REPORT_MS)
  }

  /** Sends the last report; requests in flight have ended by then. */
  stop (): void {
    clearInterval(this.timer)
    if (this.services.settings.usageWindowMs !== undefined) this.report()
  }

  /** Records that a request began to run, at a time of the monotonic clock in ms. */
  recordBegun (organisation: string, at: number): void {
    const { usageWindowMs } = this.services.settings
    if (usageWindowMs !== undefined) this.counter.note(windowAt(this.clock.at(at), usageWindowMs), organisation)
  }

  private report (): void {
    const link = this.services.controlLinks.primaryLink
    if (link === undefined) return
    const windows = link === this.lastLink ? this.counter.takeUntold() : this.counter.takeAll()
    this.lastLink = link
    if (windows.length > 0) link.send({ kind: 'usage', windows })
  }
}
