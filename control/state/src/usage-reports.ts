/**
 * What was decided to be reported of each window's usage. It is decided once, before it is sent, so that a process that takes
 * the duty over sends the same again and never other counts of the same window.
 */
import { type DecideUsageCommand, type UsageDeliveredCommand, type UsageReport } from './commands.ts'

/** Reports of older windows are forgotten; they are sent no more. */
const MAX_REPORTS = 64

export class UsageReports {
  private readonly reports = new Map<number, UsageReport>()

  get isEmpty (): boolean {
    return this.reports.size === 0
  }

  of (window: number): UsageReport | undefined {
    return this.reports.get(window)
  }

  /** Gives the report that holds: an earlier decision if there is one. */
  decide ({ window, counts }: DecideUsageCommand): UsageReport {
    const known = this.reports.get(window)
    if (known !== undefined) return known
    const report: UsageReport = { window, counts, isDelivered: false }
    this.reports.set(window, report)
    this.forgetOldest()
    return report
  }

  noteDelivered ({ window }: UsageDeliveredCommand): void {
    const known = this.reports.get(window)
    if (known !== undefined) known.isDelivered = true
  }

  dump (): UsageReport[] {
    return [...this.reports.values()]
  }

  restore (reports: readonly UsageReport[]): void {
    this.reports.clear()
    for (const report of reports) this.reports.set(report.window, report)
  }

  private forgetOldest (): void {
    if (this.reports.size > MAX_REPORTS) this.reports.delete(Math.min(...this.reports.keys()))
  }
}
