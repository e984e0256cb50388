/** The words of limits as processes tell them to each other: with ages, since clocks differ. */
import { type AdvertisedLimit } from '@gullwall/routing.rates'
import { type LimitReport } from '@gullwall/transport.messages'

/** Takes a word from the wire. */
export function limitFromWire ({ perSecond, sentAgoMs, heardAgoMs }: LimitReport, now: number): AdvertisedLimit {
  return { perSecond, sentAt: now - sentAgoMs, receivedAt: now - heardAgoMs }
}

/** Gives a word for the wire; rounded so that it does not seem later than it was. */
export function limitToWire ({ perSecond, sentAt, receivedAt }: AdvertisedLimit, now: number): LimitReport {
  return { perSecond, sentAgoMs: Math.ceil(now - sentAt), heardAgoMs: Math.max(0, Math.floor(now - receivedAt)) }
}
