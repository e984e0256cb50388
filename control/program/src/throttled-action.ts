/** An action that many events ask for and that one run serves for all of them. */

export class ThrottledAction {
  private timer: NodeJS.Timeout | undefined
  private ranAt = -Infinity

  /**
   * @param spacingMs gives the shortest time between two runs; the first after a pause comes in the next turn of the event loop
   */
  constructor (private readonly spacingMs: () => number, private readonly run: () => void) {}

  /** Has the action run soon; what asks for it until then is served by the same run. */
  request (): void {
    if (this.timer !== undefined) return
    const waitMs = Math.max(0, this.ranAt + this.spacingMs() - performance.now())
    this.timer = setTimeout(() => this.runNow(), waitMs)
  }

  stop (): void {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  private runNow (): void {
    this.timer = undefined
    this.ranAt = performance.now()
    this.run()
  }
}
