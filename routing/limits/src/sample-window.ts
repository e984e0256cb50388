/** Recent samples of a duration, and their quantiles. */

const DEFAULT_CAPACITY = 64

/** A ring of the newest samples. */
export class SampleWindow {
  private readonly samples: number[] = []
  private next = 0

  constructor (private readonly capacity = DEFAULT_CAPACITY) {}

  get count (): number {
    return this.samples.length
  }

  add (sample: number): void {
    this.samples[this.next] = sample
    this.next = (this.next + 1) % this.capacity
  }

  clear (): void {
    this.samples.length = 0
    this.next = 0
  }

  /** The given quantile, between 0 and 1; 0 if there is no sample. */
  quantile (fraction: number): number {
    if (this.samples.length === 0) return 0
    const sorted = [...this.samples].sort((left, right) => left - right)
    return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0
  }
}
