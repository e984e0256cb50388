/**
 * What an endpoint said last of the requests a second that it takes. A word was made between the moment in which its request was
 * sent and the one in which its head arrived; heads cross, and are told on by several boxes.
 */
import { type LimitWord } from '@gullwall/transport.messages'

/** A word as it is held here, by this process's monotonic clock. */
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

export function limitFromWire ({ perSecond, sentAgoMs, heardAgoMs }: LimitWord, now: number): HeldLimit {
  return { perSecond, sentAt: now - sentAgoMs, heardAt: now - heardAgoMs }
}

export function limitToWire ({ perSecond, sentAt, heardAt }: HeldLimit, now: number): LimitWord {
  return { perSecond, sentAgoMs: Math.ceil(now - sentAt), heardAgoMs: Math.max(0, Math.floor(now - heardAt)) }
}
