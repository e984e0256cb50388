/** The command that summarizes from log lines which requests missed their targets, and why. */
import { command, number, option } from 'cmd-ts'
import { formatLosses, summarizeLosses } from '@gullwall/cli.story'
import { GullwallError } from '@gullwall/core.error'
import { logFiles, readLogs, formatSkippedLines } from '../logs.ts'
import { missingArgument, print } from '../options.ts'

const DEFAULT_WINDOW_S = 2
const MS_PER_S = 1000

export const lossesCommand = command({
  name: 'losses',
  description: 'Shows for each route how requests ended, by reason, with the worst window and endpoint.\n' +
    'Example: gullwall losses --logs edge-1.log --logs edge-2.log --window 2',
  args: {
    logs: logFiles,
    windowS: option({ type: number, long: 'window', description: 'length of a window in s', defaultValue: () => DEFAULT_WINDOW_S })
  },
  handler: async ({ logs, windowS }) => {
    if (logs.length === 0) throw missingArgument('no logs', 'give --logs FILE')
    if (!(windowS > 0)) {
      throw new GullwallError('ERR_GULLWALL_BAD_CONFIGURATION', `--window ${windowS} is not above 0`, { step: 'read options' })
    }
    const { lines, skipped } = readLogs(logs)
    for (const row of formatLosses(summarizeLosses(lines, { windowMs: windowS * MS_PER_S }))) print(row)
    if (skipped > 0) print(formatSkippedLines(skipped))
  }
})
