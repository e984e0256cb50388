/**
 * What reading prompts does to the streams of the same engine: while it reads, each token takes as long as a piece of a
 * prompt, and a stream whose target for its pauses is shorter than that is spoilt by it for good.
 */

/** How fast the strain falls with the target: a stream that bears twice the pause counts an eighth. Best of 2, 3 and 8. */
const STRAIN_EXPONENT = 3
/** A stream can't be spoilt more than once; that much is kept for those that are spoilt for certain. */
const MAX_STRAIN = 1.5

/**
 * How much one stream suffers when prompts are read beside it: about 1 where the pauses of streams meanwhile are as long
 * as it bears, 0 where pauses don't matter.
 *
 * @param targetPauseMs the longest pause that it bears, if it has a target
 * @param readingPauseMs the pauses of streams there while prompts are read
 */
export function pauseSensitivityOf (targetPauseMs: number | undefined, readingPauseMs: number): number {
  return targetPauseMs === undefined ? 0 : Math.min(MAX_STRAIN, (readingPauseMs / targetPauseMs) ** STRAIN_EXPONENT)
}

/** Reading for less than this leaves streams alone, in ms: half of the shortest target for pauses that was met. */
const HARMLESS_READ_MS = 100
/** Reading for so long makes the longest pause that it can, in ms: the tokens of one event, each beside a full step. */
const FULL_READ_MS = 200

/** Which share of the streams of an engine is spoilt if it reads for so long without a break; from 0 to 1. */
export function delayedStreamShare (readMs: number): number {
  return Math.min(1, Math.max(0, (readMs - HARMLESS_READ_MS) / (FULL_READ_MS - HARMLESS_READ_MS)))
}
