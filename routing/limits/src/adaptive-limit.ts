/**
 * The in-flight limit of one endpoint, which adapts to the measured time between tokens (additive increase, multiplicative
 * decrease). It rises by one while this time is well below its target and all slots are taken, and falls by a factor when the
 * time is close to or above the target.
 */
import { SampleWindow } from './sample-window.ts'

export interface AdaptiveLimitOptions {
  initialLimit: number
  maxLimit: number
  /** The number of samples after which the limit is adapted. */
  samplesPerStep?: number
}

const DEFAULT_SAMPLES_PER_STEP = 40
const DECREASE_FACTOR = 0.9
/** Above this fraction of the target the limit falls: below 1, since each request must meet its target, and not only the average. */
const DECREASE_THRESHOLD = 0.85
/** Below this fraction of the target the limit may rise. */
const INCREASE_THRESHOLD = 0.72
/** The quantile that is compared with the target, since targets apply to 95% of the tokens of a request. */
const TARGET_QUANTILE = 0.95

export class AdaptiveLimit {
  /** Times between tokens, as fractions of their targets. */
  private readonly gaps: SampleWindow
  private readonly samplesPerStep: number
  private value: number
  private samplesSinceStep = 0
  private wasFull = false

  constructor (private readonly options: AdaptiveLimitOptions) {
    this.value = Math.min(options.initialLimit, options.maxLimit)
    this.samplesPerStep = options.samplesPerStep ?? DEFAULT_SAMPLES_PER_STEP
    this.gaps = new SampleWindow(this.samplesPerStep)
  }

  /** The maximum number of concurrent attempts. */
  get limit (): number {
    return Math.max(1, Math.floor(this.value))
  }

  /** Records that all slots are taken. The limit rises only if this happened since the last step. */
  recordFull (): void {
    this.wasFull = true
  }

  /**
   * Adds one measured time between tokens and the target of its stream.
   * @returns true if the limit changed
   */
  addGap (gapMs: number, targetMs: number): boolean {
    this.gaps.add(gapMs / targetMs)
    this.samplesSinceStep += 1
    if (this.samplesSinceStep < this.samplesPerStep) return false
    return this.step()
  }

  private step (): boolean {
    const before = this.limit
    const gapToTarget = this.gaps.quantile(TARGET_QUANTILE)
    if (gapToTarget > DECREASE_THRESHOLD) this.value = Math.max(1, this.value * DECREASE_FACTOR)
    else if (gapToTarget < INCREASE_THRESHOLD && this.wasFull) this.value = Math.min(this.options.maxLimit, this.value + 1)
    this.samplesSinceStep = 0
    this.wasFull = false
    return this.limit !== before
  }
}
