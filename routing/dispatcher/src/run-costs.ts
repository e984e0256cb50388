/**
 * The cost that a request adds to its organisation's usage: the time it occupies a slot. Since this time is not known in
 * advance, the mean of the request's class is charged first and corrected when the attempt has ended.
 */

const INITIAL_ESTIMATE_MS = 1000
const SMOOTHING = 0.05

export class RunCosts {
  private readonly meanMs = new Map<string, number>()

  /** Estimates the cost of a request of a class, in ms. */
  estimate (className: string): number {
    return this.meanMs.get(className) ?? INITIAL_ESTIMATE_MS
  }

  /**
   * Records a measured cost.
   * @returns the difference from the estimate before the measurement, in ms
   */
  recordActual (className: string, actualMs: number): number {
    const correction = actualMs - this.estimate(className)
    this.meanMs.set(className, this.estimate(className) + SMOOTHING * correction)
    return correction
  }
}
