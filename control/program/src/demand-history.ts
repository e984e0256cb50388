/** Records the load of one service in one data centre over time, and forecasts it. Time is the time of the samples. */

export interface DemandSample {
  at: number
  /** Number of endpoints that the demand keeps at the target utilisation. */
  load: number
  /** Expected load at the time when an endpoint that is ordered now is ready. */
  forecast: number
}

export interface NewSample extends Pick<DemandSample, 'at' | 'load'> {
  /** Forecast horizon, in ms. */
  horizonMs: number
}

/**
 * Window of the median that estimates the current load, in ms: five samples. The median shows a jump completely at the third sample
 * and ignores a single outlier. A mean would reach the new level only over several orders.
 */
const LEVEL_WINDOW_MS = 2000
/** Shortest window of the trend, in ms. The window is the boot time, limited by these bounds. A shorter window shows mostly scatter. */
const MIN_TREND_WINDOW_MS = 5000
/** Longest window of the trend, in ms. A longer window contains mostly outdated samples. */
const MAX_TREND_WINDOW_MS = 60_000
/**
 * A rise counts as a trend only if it exceeds the scatter of the samples by this factor. Over the 20 samples of 10 s normal scatter
 * alone reaches factor 3 about once in 20,000 samples, and factor 2 about once in 200. The free slots absorb a slower rise.
 */
const MIN_RISE_TO_SCATTER = 3
/** The forecast is limited to this multiple of the current load, since a rise rarely continues for longer. */
const MAX_GROWTH_FACTOR = 2
/** After a longer gap between two samples the earlier samples are discarded, in ms. The process was suspended in between. */
const MAX_SAMPLE_GAP_MS = 5000

export class DemandHistory {
  private samples: DemandSample[] = []

  get newest (): DemandSample | undefined {
    return this.samples.at(-1)
  }

  /** Time between the oldest kept sample and the newest one, in ms. */
  get spanMs (): number {
    const [first] = this.samples
    return first === undefined ? 0 : (this.newest?.at ?? 0) - first.at
  }

  /** Whether the gap since the newest sample is too long. */
  isInterrupted (now: number): boolean {
    return this.newest !== undefined && now - this.newest.at > MAX_SAMPLE_GAP_MS
  }

  /**
   * Adds a sample and computes its forecast.
   * @param keptMs retention time of samples, in ms; the newest sample that is older than this is kept too
   */
  add ({ at, load, horizonMs }: NewSample, keptMs: number): void {
    const sample: DemandSample = { at, load, forecast: load }
    this.samples.push(sample)
    sample.forecast = this.computeForecast(horizonMs)
    const since = at - Math.max(keptMs, MAX_TREND_WINDOW_MS)
    const firstKept = this.samples.findIndex(({ at }) => at > since)
    if (firstKept > 1) this.samples = this.samples.slice(firstKept - 1)
  }

  /** Returns the highest forecast of the samples within a time, in ms. */
  findMaxForecast (withinMs: number): number {
    return this.samplesWithin(withinMs).reduce((most, { forecast }) => Math.max(most, forecast), 0)
  }

  /** Returns the expected load after `horizonMs`. The forecast continues a rise, but not a fall. */
  private computeForecast (horizonMs: number): number {
    const level = median(this.samplesWithin(LEVEL_WINDOW_MS).map(({ load }) => load))
    const trendMs = Math.min(MAX_TREND_WINDOW_MS, Math.max(MIN_TREND_WINDOW_MS, horizonMs))
    return Math.min(MAX_GROWTH_FACTOR * level, level + horizonMs * this.findRisePerMs(trendMs))
  }

  /** Returns the slope of a rise. Returns 0 if the load falls, has only jumped, or rises no more than the scatter explains. */
  private findRisePerMs (overMs: number): number {
    if (this.spanMs < overMs / 2) return 0
    const samples = this.samplesWithin(overMs)
    const { slope, rise, scatter } = fitLine(samples)
    if (rise <= MIN_RISE_TO_SCATTER * scatter) return 0
    // A jump affects one half of the samples, a continuing rise affects both.
    const half = samples.length >> 1
    return Math.max(0, Math.min(slope, fitLine(samples.slice(0, half)).slope, fitLine(samples.slice(half)).slope))
  }

  private samplesWithin (forMs: number): DemandSample[] {
    const from = (this.newest?.at ?? 0) - forMs
    return this.samples.filter(({ at }) => at >= from)
  }
}

interface Line {
  slope: number
  /** Rise of the line from the first to the last sample. */
  rise: number
  /** Standard deviation of the samples from the line. */
  scatter: number
}

/** Returns the least-squares line through samples. */
function fitLine (samples: readonly DemandSample[]): Line {
  const atMean = mean(samples.map(({ at }) => at))
  const loadMean = mean(samples.map(({ load }) => load))
  const spread = mean(samples.map(({ at }) => (at - atMean) ** 2))
  if (spread === 0) return { slope: 0, rise: 0, scatter: 0 }
  const slope = mean(samples.map(({ at, load }) => (at - atMean) * (load - loadMean))) / spread
  const scatter = Math.sqrt(mean(samples.map(({ at, load }) => (load - loadMean - slope * (at - atMean)) ** 2)))
  return { slope, rise: slope * ((samples.at(-1)?.at ?? 0) - (samples[0]?.at ?? 0)), scatter }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[values.length >> 1] ?? 0
}
