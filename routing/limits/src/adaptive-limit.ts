/**
 * The in-flight limit of one endpoint. It adapts to the measured time between
 * tokens: while that is within the target and slots are short, one more is
 * allowed; when it is over, the limit falls by a factor.
 */
import { SampleWindow } from './sample-window.ts'

export interface AdaptiveLimitOptions {
  initialLimit: number
  maxLimit: number
  /** Evaluate after so many samples. */
  samplesPerStep?: number
}

const DEFAULT_SAMPLES_PER_STEP = 40
const DECREASE_FACTOR = 0.9
/** Above this share of the target the limit falls; a request must keep it in 95 of its own 100 gaps, not on average. */
const CEILING = 0.85
/** Below this share it may rise. */
const HEADROOM = 0.72
/** The quantile held against the target: targets are for 95 in 100 tokens. */
const TARGET_QUANTILE = 0.95

export class AdaptiveLimit {
  private readonly gaps: SampleWindow
  private readonly samplesPerStep: number
  private value: number
  private sinceStep = 0
  private wasFull = false

  constructor (private readonly options: AdaptiveLimitOptions) {
    this.value = Math.min(options.initialLimit, options.maxLimit)
    this.samplesPerStep = options.samplesPerStep ?? DEFAULT_SAMPLES_PER_STEP
    this.gaps = new SampleWindow(this.samplesPerStep)
  }

  /** How many attempts may run at once. */
  get limit (): number {
    return Math.max(1, Math.floor(this.value))
  }

  /** Notes that all slots are taken; only a full endpoint earns a higher limit. */
  recordFull (): void {
    this.wasFull = true
  }

  /**
   * Adds one time between tokens, against the target of the stream it belongs to.
   * @returns true if the limit changed
   */
  addGap (gapMs: number, targetMs: number): boolean {
    this.gaps.add(gapMs / targetMs)
    this.sinceStep += 1
    if (this.sinceStep < this.samplesPerStep) return false
    return this.step()
  }

  private step (): boolean {
    const before = this.limit
    const load = this.gaps.quantile(TARGET_QUANTILE)
    if (load > CEILING) this.value = Math.max(1, this.value * DECREASE_FACTOR)
    else if (load < HEADROOM && this.wasFull) this.value = Math.min(this.options.maxLimit, this.value + 1)
    this.sinceStep = 0
    this.wasFull = false
    return this.limit !== before
  }
}
