/** Parses the rate limit that an endpoint advertises for the requests of all boxes together. */

/** The advertised limit in the headers of one response. */
export interface LimitWord {
  /** Requests per second, 0 or more; undefined if the headers contain no limit, which ends an earlier one. */
  perSecond: number | undefined
}

export interface LimitReading {
  /** Undefined if the headers do not change the limit. */
  word: LimitWord | undefined
  /** The header values if none of them is valid. */
  unreadable?: string | undefined
}

export interface LimitOptions {
  /** Whether the response is interim (1xx). It may advertise a limit, but a missing header does not end one. */
  isInterim: boolean
}

const DECIMAL = /^(?:\d+\.?\d*|\.\d+)$/

/** Parses the values of the limit header. The smallest of several limits applies, and invalid values are ignored. */
export function readLimit (values: readonly string[], { isInterim }: LimitOptions): LimitReading {
  if (values.length === 0) return { word: isInterim ? undefined : { perSecond: undefined } }
  const texts = values.flatMap((value) => value.split(',')).map((text) => text.trim())
  const limits = texts.filter((text) => DECIMAL.test(text)).map(Number).filter(Number.isFinite)
  if (limits.length === 0) return { word: undefined, unreadable: values.join(' | ') }
  return { word: { perSecond: Math.min(...limits) } }
}
