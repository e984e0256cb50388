/** Reads how many requests a second an endpoint takes from all boxes together. */

/** What one head says of the limit. */
export interface LimitNotice {
  /** Requests a second, 0 or more; undefined where the head names no limit, so that none is in force any more. */
  perSecond: number | undefined
}

export interface ParsedLimit {
  /** Undefined where the head leaves it as it was. */
  notice: LimitNotice | undefined
  /** What it named where that can not be understood. */
  unreadable?: string | undefined
}

export interface ParseLimitOptions {
  /** Whether the head precedes that of the answer itself (1xx): it may name a limit, but that it names none tells nothing. */
  isInterim: boolean
}

const DECIMAL = /^(?:\d+\.?\d*|\.\d+)$/

/** Reads the values of the header. Of several the smallest holds; one that can not be understood changes nothing. */
export function parseLimit (values: readonly string[], { isInterim }: ParseLimitOptions): ParsedLimit {
  if (values.length === 0) return { notice: isInterim ? undefined : { perSecond: undefined } }
  const texts = values.flatMap((value) => value.split(',')).map((text) => text.trim())
  const limits = texts.filter((text) => DECIMAL.test(text)).map(Number).filter(Number.isFinite)
  if (limits.length === 0) return { notice: undefined, unreadable: values.join(' | ') }
  return { notice: { perSecond: Math.min(...limits) } }
}
