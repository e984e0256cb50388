/** Reads how many requests a second an endpoint takes from all boxes together. */

/** What one head says of the limit. */
export interface LimitWord {
  /** Requests a second, 0 or more; undefined where the head names no limit, so that none is in force any more. */
  perSecond: number | undefined
}

export interface LimitReading {
  /** Undefined where the head leaves it as it was. */
  word: LimitWord | undefined
  /** What it named where that can not be understood. */
  unreadable?: string | undefined
}

export interface LimitOptions {
  /** Whether the head precedes that of the answer itself (1xx): it may name a limit, but that it names none tells nothing. */
  isInterim: boolean
}

const DECIMAL = /^(?:\d+\.?\d*|\.\d+)$/

/** Reads the values of the header. Of several the smallest holds; one that can not be understood changes nothing. */
export function readLimit (values: readonly string[], { isInterim }: LimitOptions): LimitReading {
  if (values.length === 0) return { word: isInterim ? undefined : { perSecond: undefined } }
  const texts = values.flatMap((value) => value.split(',')).map((text) => text.trim())
  const limits = texts.filter((text) => DECIMAL.test(text)).map(Number).filter(Number.isFinite)
  if (limits.length === 0) return { word: undefined, unreadable: values.join(' | ') }
  return { word: { perSecond: Math.min(...limits) } }
}
