/** Throttles an action: one run serves all requests that arrive within the interval. */

export class ThrottledAction {
  private timer: NodeJS.Timeout | undefined
  private lastRunAt = -Infinity

  /**
   * @param intervalMs the shortest interval between two runs, in ms; the first run after a pause starts in the next event loop turn
   */
  constructor (private readonly intervalMs: () => number, private readonly run: () => void) {}

  /** Schedules a run. The run also serves all requests that arrive before it starts. */
  request (): void {
    if (this.timer !== undefined) return
    const waitMs = Math.max(0, this.lastRunAt + this.intervalMs() - performance.now())
    this.timer = setTimeout(() => this.runNow(), waitMs)
  }

  stop (): void {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  private runNow (): void {
    this.timer = undefined
    this.lastRunAt = performance.now()
    this.run()
  }
}
