/**
 * Estimates the prefill of an engine: its speed, the share of time that it takes, and the pauses of streams during it. Engines don't
 * report these values, and they differ between engines of one service, so they are learnt from attempts. Streams with a short limit
 * for pauses do not tolerate those during prefill. An entry learns from its own attempts and sends its observations to control. Control
 * learns from the observations of all entries, which is faster if each entry uses an engine rarely.
 */

/** A backlog that keeps an engine busy with prefill until the next sample: about two intervals of 60 ms at 36 tokens a ms. */
const BUSY_TOKENS = 4000
/** The weight of one sample in the share; with a sample each 60 ms, the time constant is 1.5 s. */
const SHARE_WEIGHT = 0.04

/** The assumed prefill speed of an engine without observations: that of a slow engine (36.7 tokens a ms alone) beside a few streams. */
const UNKNOWN_TOKENS_PER_MS = 36
/** The time for a shorter prompt depends more on the network than on the engine. */
const MIN_TIMED_TOKENS = 1500
/** A shorter time means that the prompt was cached after all, in ms. */
const MIN_TIMED_MS = 10
/** The weight of one observation in the speed. */
const SPEED_WEIGHT = 0.1
/** An observation is clamped to this factor above and below the present speed. */
const MAX_SPEED_FACTOR = 2
/** The largest factor between the learnt and the assumed speed, in either direction. */
const LEARNT_SPEED_FACTOR = 2

/** The assumed pause of an engine without observations, in ms. */
const UNKNOWN_PAUSE_MS = 200
/** A shorter pause means that the engine did no prefill, in ms. */
const MIN_PREFILL_PAUSE_MS = 20
/** A pause above the estimate has the higher weight, so that about nine of ten pauses are shorter than the estimate. */
const LONGER_PAUSE_WEIGHT = 0.1
const SHORTER_PAUSE_WEIGHT = 0.01
/** A pause counts with at most this multiple of the estimate, since a stalled engine does no prefill. */
const MAX_PAUSE_FACTOR = 2

/** The most observations of each kind between two reports; more from one engine in that time add no information. */
const MAX_UNREPORTED = 16

/** The time that the prefill of a prompt took. */
export interface PrefillSample {
  /** Tokens of the prompt that needed prefill. */
  tokens: number
  /** Tokens of other prompts whose prefill went first. */
  aheadTokens: number
  tookMs: number
}

/** The observations of an entry since its last report. */
export interface PrefillObservations {
  pauses: number[]
  reads: PrefillSample[]
}

export class PrefillObserver {
  /** The prefill speed beside the usual streams, in tokens a ms. */
  tokensPerMs = UNKNOWN_TOKENS_PER_MS
  /** The pause between events of a stream during prefill, in ms; about the 90th percentile. */
  pauseMs = UNKNOWN_PAUSE_MS
  /** The share of the recent seconds that prefill took, from 0 to 1. */
  busyShare = 0
  private busyAt = -Infinity
  private observations: PrefillObservations = { pauses: [], reads: [] }

  /**
   * Samples the prefill backlog.
   * @param intervals number of regular sampling intervals that the sample stands for
   */
  sample (backlogTokens: number, now: number, intervals = 1): void {
    const prefillShare = Math.min(1, backlogTokens / BUSY_TOKENS)
    if (prefillShare === 1) this.busyAt = now
    const weight = intervals === 1 ? SHARE_WEIGHT : 1 - (1 - SHARE_WEIGHT) ** intervals
    this.busyShare += weight * (prefillShare - this.busyShare)
  }

  /** Records that the prefill of a prompt is complete. */
  recordPrefill (prefillSample: PrefillSample): void {
    if (prefillSample.tokens < MIN_TIMED_TOKENS || prefillSample.tookMs < MIN_TIMED_MS) return
    if (this.observations.reads.length < MAX_UNREPORTED) this.observations.reads.push(prefillSample)
    this.learnPrefill(prefillSample)
  }

  /** Updates the speed from the prefill of a prompt that is long enough. */
  learnPrefill ({ tokens, aheadTokens, tookMs }: PrefillSample): void {
    const observed = clamp((tokens + aheadTokens) / tookMs, this.tokensPerMs / MAX_SPEED_FACTOR, this.tokensPerMs * MAX_SPEED_FACTOR)
    const updated = this.tokensPerMs + SPEED_WEIGHT * (observed - this.tokensPerMs)
    this.tokensPerMs = clamp(updated, UNKNOWN_TOKENS_PER_MS / LEARNT_SPEED_FACTOR, UNKNOWN_TOKENS_PER_MS * LEARNT_SPEED_FACTOR)
  }

  /** Records the time between two events of a stream; it counts if the engine was busy with prefill in between. */
  recordPause (pauseMs: number, startedAt: number): void {
    if (this.busyAt < startedAt || pauseMs < MIN_PREFILL_PAUSE_MS) return
    if (this.observations.pauses.length < MAX_UNREPORTED) this.observations.pauses.push(Math.round(pauseMs))
    this.learnPause(pauseMs)
  }

  /** Updates the pause estimate from a pause during prefill. */
  learnPause (pauseMs: number): void {
    const observedMs = Math.min(pauseMs, MAX_PAUSE_FACTOR * this.pauseMs)
    const weight = observedMs > this.pauseMs ? LONGER_PAUSE_WEIGHT : SHORTER_PAUSE_WEIGHT
    this.pauseMs += weight * (observedMs - this.pauseMs)
  }

  /** Replaces the estimates by those from the observations of all entries. */
  adopt ({ tokensPerMs, pauseMs }: Pick<PrefillObserver, 'tokensPerMs' | 'pauseMs'>): void {
    this.tokensPerMs = tokensPerMs
    this.pauseMs = pauseMs
  }

  /** Whether there are observations that have not been reported. */
  get hasObservations (): boolean {
    return this.observations.pauses.length + this.observations.reads.length > 0
  }

  /** Returns the observations since the last call; undefined if there are none. */
  takeObservations (): PrefillObservations | undefined {
    const { observations } = this
    if (!this.hasObservations) return undefined
    this.observations = { pauses: [], reads: [] }
    return observations
  }
}

function clamp (value: number, lowest: number, highest: number): number {
  return Math.min(highest, Math.max(lowest, value))
}
