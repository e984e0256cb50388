/** Counts the requests that began to run, and tells control of them. */
import { SteadyWallClock, UsageCounter, windowAt } from '@gullwall/control.usage'
import { type Link } from '@gullwall/transport.link'
import { type GatewayServices } from './index.ts'

/** How often new counts are told at most, in ms: what is lost with a process is what it counted since. */
const TELL_MS = 100

export class UsageTracker {
  private readonly counter = new UsageCounter()
  private readonly clock = new SteadyWallClock()
  private timer: NodeJS.Timeout | undefined
  /** The link over which the counts were told; another one is told all of them. */
  private toldTo: Link | undefined

  constructor (private readonly services: Pick<GatewayServices, 'settings' | 'controlLinks'>) {}

  start (): void {
    if (this.services.settings.usageWindowMs !== undefined) this.timer = setInterval(() => this.tell(), TELL_MS)
  }

  /** Tells what is left: requests in flight have ended by now. */
  stop (): void {
    clearInterval(this.timer)
    if (this.services.settings.usageWindowMs !== undefined) this.tell()
  }

  /** Notes that a request began to run, at a moment of the monotonic clock. */
  recordBegun (organisation: string, at: number): void {
    const { usageWindowMs } = this.services.settings
    if (usageWindowMs !== undefined) this.counter.note(windowAt(this.clock.at(at), usageWindowMs), organisation)
  }

  private tell (): void {
    const link = this.services.controlLinks.primaryLink
    if (link === undefined) return
    const windows = link === this.toldTo ? this.counter.takeUntold() : this.counter.takeAll()
    this.toldTo = link
    if (windows.length > 0) link.send({ kind: 'usage', windows })
  }
}
