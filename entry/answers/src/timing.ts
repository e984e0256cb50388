/** Whether an answer kept its class's targets. */

/** Targets of a class, in ms. */
export interface Targets {
  firstTokenMs: number
  betweenTokensMs: number
}

/** The share of gaps between tokens that may be over the target. */
const LATE_GAPS_ALLOWED = 0.05

/** Measures one request as its caller sees it, across all its attempts. */
export class AnswerTiming {
  firstTokenMs: number | undefined
  private lastAt = 0
  private gaps = 0
  private lateGaps = 0

  constructor (private readonly arrivedAt: number, private readonly targets: Targets) {}

  noteToken (now = performance.now()): void {
    if (this.firstTokenMs === undefined) {
      this.firstTokenMs = now - this.arrivedAt
    } else {
      this.gaps += 1
      if (now - this.lastAt > this.targets.betweenTokensMs) this.lateGaps += 1
    }
    this.lastAt = now
  }

  get inTime (): boolean {
    if (this.firstTokenMs === undefined || this.firstTokenMs > this.targets.firstTokenMs) return false
    return this.lateGaps <= Math.max(1, this.gaps * LATE_GAPS_ALLOWED)
  }
}
