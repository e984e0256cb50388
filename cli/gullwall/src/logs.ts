/** The option for files with log lines, and a function that reads them. */
import { readFileSync } from 'node:fs'
import { array, multioption, string } from 'cmd-ts'
import { readLines, type ReadLines } from '@gullwall/cli.story'
import { GullwallError, messageOf } from '@gullwall/core.error'

const STANDARD_INPUT = '-'

export const logFiles = multioption({
  type: array(string), long: 'logs', description: 'file with log lines, - for standard input; may be repeated'
})

/**
 * Reads the log lines of all files.
 * @throws ERR_GULLWALL_BAD_CONFIGURATION if a file can't be read
 */
export function readLogs (files: readonly string[]): ReadLines {
  const parts = files.map((file) => readLines(readLog(file)))
  return { lines: parts.flatMap(({ lines }) => lines), skipped: parts.reduce((sum, { skipped }) => sum + skipped, 0) }
}

/** Formats the number of lines that contain no record. */
export function formatSkippedLines (skipped: number): string {
  return `${skipped} lines were no log lines`
}

function readLog (file: string): string {
  try {
    return readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8')
  } catch (error) {
    throw new GullwallError('ERR_GULLWALL_BAD_CONFIGURATION', `can't read ${file}: ${messageOf(error)}`, { step: 'read logs', peer: file })
  }
}
