/** The first lines of each long-running program. */
export const EARLY_SIGNALS: string
