/**
 * What an endpoint said last of the requests a second that it takes. A word was made between the moment in which its request was
 * sent and the one in which its head arrived; heads cross, and are told on by several boxes.
 */

/** A word as it is held in one process, by its monotonic clock. */
export interface AdvertisedLimit {
  /** Requests a second; none where it named no limit any more. */
  perSecond: number | undefined
  sentAt: number
  receivedAt: number
}

/** Gives which of two words of one life holds: the one that was surely made later, else the stricter one. */
export function selectLatestLimit (known: AdvertisedLimit | undefined, word: AdvertisedLimit): AdvertisedLimit | undefined {
  if (known === undefined) return word.perSecond === undefined ? undefined : word
  if (word.sentAt >= known.receivedAt) return word
  if (known.sentAt >= word.receivedAt) return known
  const rates = [known, word].map(({ perSecond = Infinity }) => perSecond) as [number, number]
  if (rates[0] !== rates[1]) return rates[0] < rates[1] ? known : word
  return word.receivedAt > known.receivedAt ? word : known
}
