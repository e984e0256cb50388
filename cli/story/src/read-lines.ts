/** Parses log lines. */
import { type LogRecord } from '@gullwall/core.logger'

/** The record of one log line. */
export type LogLine = LogRecord & {
  /** Time of day at the process, as ISO 8601 text. */
  time: string
  box: string
}

export interface ReadLines {
  lines: LogLine[]
  /** Number of lines that contain no record. */
  skipped: number
}

/** Parses the lines of a text. Text before the record in a line, such as the prefix of a log collector, is ignored. */
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
