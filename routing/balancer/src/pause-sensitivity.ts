/**
 * The effect of prefill on the streams of the same engine. During prefill, each token of a stream takes as long as one prefill
 * step. A stream whose limit for pauses is shorter misses that limit, and is late for good.
 */

/** Pause sensitivity falls with this power of the limit for pauses: twice the limit means an eighth of the sensitivity. */
const SENSITIVITY_EXPONENT = 3
/** An upper bound, since a stream can't be late more than once. It exceeds 1 for streams that are certain to be late. */
const MAX_SENSITIVITY = 1.5

/**
 * Returns how sensitive a stream is to prefill on its engine: about 1 if the pauses during prefill are as long as its limit, 0
 * if it has no limit.
 *
 * @param maxPauseMs the longest acceptable pause between events, in ms
 * @param prefillPauseMs the pauses between events during prefill at the engine, in ms
 */
export function pauseSensitivityOf (maxPauseMs: number | undefined, prefillPauseMs: number): number {
  return maxPauseMs === undefined ? 0 : Math.min(MAX_SENSITIVITY, (prefillPauseMs / maxPauseMs) ** SENSITIVITY_EXPONENT)
}

/** Shorter prefill doesn't delay streams, in ms: half of the shortest pause limit in use. */
const HARMLESS_PREFILL_MS = 100
/** Longer prefill doesn't lengthen pauses any more, in ms: all tokens of one event then fall into full prefill steps. */
const FULL_DELAY_PREFILL_MS = 200

/** Returns the share of an engine's streams, from 0 to 1, that uninterrupted prefill of some duration delays. */
export function delayedStreamShare (prefillMs: number): number {
  return Math.min(1, Math.max(0, (prefillMs - HARMLESS_PREFILL_MS) / (FULL_DELAY_PREFILL_MS - HARMLESS_PREFILL_MS)))
}
