/** Log lines as records. */
import { type LogRecord } from '@gullwall/core.logger'

/** One line of a log, as it was written. */
export type LogLine = LogRecord & {
  /** Time of day at the process, ISO 8601. */
  time: string
  box: string
}

export interface ReadLines {
  lines: LogLine[]
  /** Lines that are no record. */
  skipped: number
}

/** Reads lines; whatever stands before the record in a line, such as a collector's prefix, is passed over. */
export function readLines (text: string): ReadLines {
  const lines: LogLine[] = []
  let skipped = 0
  for (const raw of text.split('\n')) {
    if (raw.trim() === '') continue
    const line = parseLine(raw)
    if (line === undefined) skipped += 1
    else lines.push(line)
  }
  return { lines, skipped }
}

function parseLine (raw: string): LogLine | undefined {
  const start = raw.indexOf('{')
  if (start < 0) return undefined
  try {
    const value = JSON.parse(raw.slice(start)) as Partial<LogLine>
    return typeof value.time === 'string' && typeof value.channel === 'string' ? value as LogLine : undefined
  } catch {
    return undefined
  }
}
