/**
 * The rate limit that an endpoint advertises in its response headers. The endpoint stated the limit at some time between the
 * sending of the request and the arrival of the response headers. Responses may overtake each other and reach several boxes,
 * so the order in which limits arrive is not the order in which they were stated.
 */

/** An advertised limit. Times are in ms of this process's monotonic clock. */
export interface AdvertisedLimit {
  /** Requests per second; undefined if the endpoint no longer advertises a limit. */
  perSecond: number | undefined
  /** When the request was sent. */
  sentAt: number
  /** When the response headers arrived. */
  receivedAt: number
}

/**
 * Selects the limit in force from two limits of one incarnation of an endpoint: the limit that is certainly more recent, or else
 * the stricter limit.
 */
export function selectLatestLimit (known: AdvertisedLimit | undefined, received: AdvertisedLimit): AdvertisedLimit | undefined {
  if (known === undefined) return received.perSecond === undefined ? undefined : received
  if (received.sentAt >= known.receivedAt) return received
  if (known.sentAt >= received.receivedAt) return known
  const rates = [known, received].map(({ perSecond = Infinity }) => perSecond) as [number, number]
  if (rates[0] !== rates[1]) return rates[0] < rates[1] ? known : received
  return received.receivedAt > known.receivedAt ? received : known
}
