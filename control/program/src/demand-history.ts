/** What was seen of one demand over time, and what that lets expect. The time is that of the samples. */

export interface DemandSample {
  at: number
  /** How many endpoints the demand keeps as busy as they are meant to be. */
  load: number
  /** The load when an endpoint that is ordered now will serve. */
  forecast: number
}

export interface NewSample extends Pick<DemandSample, 'at' | 'load'> {
  /** How far is to be foreseen, in ms. */
  horizonMs: number
}

/**
 * The present load is the median over this time, in ms, of five looks: a jump shows whole at the third, where a mean would
 * climb to it over several orders, and a single outlier not at all.
 */
const LEVEL_MS = 2000
/** The trend is taken over a boot time, within these bounds, in ms: less is scatter, more is the past. */
const LEAST_TREND_MS = 5000
const MOST_TREND_MS = 60_000
/**
 * A rise counts only where it is so many times the scatter about it. Over the 20 looks of 10 s normal scatter brings that once in
 * some 20,000 looks; at twice the scatter it was once in some 200. A slower rise is borne by the slots that are kept free.
 */
const CLEAR_RISE = 3
/** It is taken no further than to so many times the present load: hardly any rise goes on for longer. */
const MAX_GROWTH = 2
/** After a longer pause between two looks what was before says nothing, in ms: the process was frozen. */
const MAX_PAUSE_MS = 5000

export class DemandHistory {
  private samples: DemandSample[] = []

  get newest (): DemandSample | undefined {
    return this.samples.at(-1)
  }

  /** For how long the demand was watched; no longer than it is remembered. */
  get spanMs (): number {
    const [first] = this.samples
    return first === undefined ? 0 : (this.newest?.at ?? 0) - first.at
  }

  /** Whether too long has passed since the last sample. */
  isInterrupted (now: number): boolean {
    return this.newest !== undefined && now - this.newest.at > MAX_PAUSE_MS
  }

  /**
   * Takes a sample; what it lets foresee is added to it.
   * @param keptMs for how long samples are remembered; the oldest is the last one that is not younger
   */
  add ({ at, load, horizonMs }: NewSample, keptMs: number): void {
    const sample: DemandSample = { at, load, forecast: load }
    this.samples.push(sample)
    sample.forecast = this.foreseen(horizonMs)
    const since = at - Math.max(keptMs, MOST_TREND_MS)
    const firstKept = this.samples.findIndex(({ at }) => at > since)
    if (firstKept > 1) this.samples = this.samples.slice(firstKept - 1)
  }

  /** The highest load that was foreseen within a time. */
  findMaxForecast (withinMs: number): number {
    return this.since(withinMs).reduce((most, { forecast }) => Math.max(most, forecast), 0)
  }

  /** The load after a time ahead, if it rises on as it did; a fall is not expected to go on. */
  private foreseen (aheadMs: number): number {
    const level = median(this.since(LEVEL_MS).map(({ load }) => load))
    const trendMs = Math.min(MOST_TREND_MS, Math.max(LEAST_TREND_MS, aheadMs))
    return Math.min(MAX_GROWTH * level, level + aheadMs * this.risePerMs(trendMs))
  }

  /** How fast the load rises; 0 where it falls, or rises no more than the scatter explains, or has only jumped. */
  private risePerMs (overMs: number): number {
    if (this.spanMs < overMs / 2) return 0
    const samples = this.since(overMs)
    const { slope, rise, scatter } = lineThrough(samples)
    if (rise <= CLEAR_RISE * scatter) return 0
    // A jump lies in one of the halves; a rise that goes on is in both.
    const half = samples.length >> 1
    return Math.max(0, Math.min(slope, lineThrough(samples.slice(0, half)).slope, lineThrough(samples.slice(half)).slope))
  }

  private since (forMs: number): DemandSample[] {
    const from = (this.newest?.at ?? 0) - forMs
    return this.samples.filter(({ at }) => at >= from)
  }
}

interface Line {
  slope: number
  /** From the first to the last sample. */
  rise: number
  /** The deviation of the samples from the line. */
  scatter: number
}

/** The best line through samples. */
function lineThrough (samples: readonly DemandSample[]): Line {
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
