/**
 * What an endpoint said last of the requests a second that it takes. A word was made between the moment in which its request was
 * sent and the one in which its head arrived; heads cross, and are told on by several boxes.
 */

/** A word as it is held in one process, by its monotonic clock. */
export interface HeldLimit {
  /** Requests a second; none where it named no limit any more. */
  perSecond: number | undefined
  sentAt: number
  heardAt: number
}

/** Gives which of two words of one life holds: the one that was surely made later, else the stricter one. */
export function laterLimit (known: HeldLimit | undefined, word: HeldLimit): HeldLimit | undefined {
  if (known === undefined) return word.perSecond === undefined ? undefined : word
  if (word.sentAt >= known.heardAt) return word
  if (known.sentAt >= word.heardAt) return known
  const rates = [known, word].map(({ perSecond = Infinity }) => perSecond) as [number, number]
  if (rates[0] !== rates[1]) return rates[0] < rates[1] ? known : word
  return word.heardAt > known.heardAt ? word : known
}
