/** The order in which an engine runs its requests: by tier, and within a tier those with little prefill first. */

/** The number of levels within a tier. */
const LEVELS = 3
/** The most tokens to prefill for the first and for the second level; more tokens belong to the last level. */
const LEVEL_TOKENS = [2500, 8000]

export interface UrgencyOptions {
  tier: number
  /** Prompt tokens that need prefill. */
  unreadTokens: number
  /** Whether the caller has already received a part of its stream. */
  isResumed: boolean
}

/** Returns the rank of a request at an engine; 0 goes first. */
export function urgencyOf ({ tier, unreadTokens, isResumed }: UrgencyOptions): number {
  const level = isResumed ? 0 : LEVEL_TOKENS.filter((limit) => unreadTokens > limit).length
  return LEVELS * tier + level
}
