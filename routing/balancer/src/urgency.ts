/** The order in which an engine takes the requests that it has: by tier, and within a tier the short reads first. */

/** Levels within one tier. */
const LEVELS = 3
/** Prompts with at most so many tokens to read are of the first, the second level; longer ones of the last. */
const LEVEL_TOKENS = [2500, 8000]

export interface UrgencyOptions {
  tier: number
  unreadTokens: number
  /** Whether the caller has had a part of its stream already. */
  isResumed: boolean
}

/** A rank for the engine; 0 goes first. */
export function urgencyOf ({ tier, unreadTokens, isResumed }: UrgencyOptions): number {
  const level = isResumed ? 0 : LEVEL_TOKENS.filter((limit) => unreadTokens > limit).length
  return LEVELS * tier + level
}
