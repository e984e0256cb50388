/**
 * What a request costs its organisation's share: the time it holds a slot. The
 * length of an answer is not known beforehand, so the mean of its class is
 * assumed and corrected when the attempt has ended.
 */

const FIRST_GUESS_MS = 1000
const SMOOTHING = 0.05

export class RunCosts {
  private readonly meanMs = new Map<string, number>()

  /** The cost assumed for a request of a class, in ms. */
  estimate (className: string): number {
    return this.meanMs.get(className) ?? FIRST_GUESS_MS
  }

  /** Takes a measured cost into the mean and gives its difference to what was assumed. */
  recordActual (className: string, actualMs: number): number {
    const correction = actualMs - this.estimate(className)
    this.meanMs.set(className, this.estimate(className) + SMOOTHING * correction)
    return correction
  }
}
