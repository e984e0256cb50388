/** Parses the rate limit that an endpoint advertises for the requests of all boxes together. */

/** The advertised limit in the headers of one response. */
export interface LimitNotice {
  /** Requests per second, 0 or more; undefined if the headers contain no limit, which ends an earlier one. */
  perSecond: number | undefined
}

export interface ParsedLimit {
  /** Undefined if the headers do not change the limit. */
  notice: LimitNotice | undefined
  /** The header values if none of them is valid. */
  invalidValues?: string | undefined
}

export interface ParseLimitOptions {
  /** Whether the response is interim (1xx). It may advertise a limit, but a missing header does not end one. */
  isInterim: boolean
}

const DECIMAL = /^(?:\d+\.?\d*|\.\d+)$/

/** Parses the values of the limit header. The smallest of several limits applies, and invalid values are ignored. */
export function parseLimit (values: readonly string[], { isInterim }: ParseLimitOptions): ParsedLimit {
  if (values.length === 0) return { notice: isInterim ? undefined : { perSecond: undefined } }
  const texts = values.flatMap((value) => value.split(',')).map((text) => text.trim())
  const limits = texts.filter((text) => DECIMAL.test(text)).map(Number).filter(Number.isFinite)
  if (limits.length === 0) return { notice: undefined, invalidValues: values.join(' | ') }
  return { notice: { perSecond: Math.min(...limits) } }
}
