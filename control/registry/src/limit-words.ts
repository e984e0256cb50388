/** The words of limits as processes tell them to each other: with ages, since clocks differ. */
import { type HeldLimit } from '@gullwall/routing.rates'
import { type LimitWord } from '@gullwall/transport.messages'

/** Takes a word from the wire. */
export function limitFromWire ({ perSecond, sentAgoMs, heardAgoMs }: LimitWord, now: number): HeldLimit {
  return { perSecond, sentAt: now - sentAgoMs, heardAt: now - heardAgoMs }
}

/** Gives a word for the wire; rounded so that it does not seem later than it was. */
export function limitToWire ({ perSecond, sentAt, heardAt }: HeldLimit, now: number): LimitWord {
  return { perSecond, sentAgoMs: Math.ceil(now - sentAt), heardAgoMs: Math.max(0, Math.floor(now - heardAt)) }
}
