/** Tells what happened to one request: from processes that still remember it, or from log lines. */
import { readFileSync } from 'node:fs'
import { array, command, multioption, positional, string } from 'cmd-ts'
import { request } from 'undici'
import { formatStoryLine, readLines, tellStory, type LogLine } from '@gullwall/cli.story'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { adminAddresses, admins, missing, print } from '../options.ts'

const STANDARD_INPUT = '-'

interface RememberedDecision {
  time: string
  decision: string
  endpoint?: string
  why: string
  ran?: string
}

export const explainCommand = command({
  name: 'explain',
  description: 'Shows the decisions on one request, across processes.\n' +
    'Example: gullwall explain r-0011aabb-1 --admin 10.0.0.9:7001\n' +
    'Example: gullwall explain 7203bd5cae17e56b --logs edge-1.log --logs edge-2.log',
  args: {
    request: positional({ type: string, displayName: 'REQUEST' }),
    admin: admins,
    logs: multioption({ type: array(string), long: 'logs', description: 'file with log lines, - for standard input; may be repeated' })
  },
  handler: async ({ request: requestId, admin, logs }) => {
    if (logs.length > 0) explainFromLogs(requestId, logs)
    else await explainFromProcesses(requestId, adminAddresses(admin))
  }
})

function explainFromLogs (requestId: string, files: readonly string[]): void {
  const read = files.map((file) => readLines(readLog(file)))
  const lines = read.flatMap((part): LogLine[] => part.lines)
  const skipped = read.reduce((sum, part) => sum + part.skipped, 0)
  const story = tellStory(lines, requestId)
  for (const line of story) print(formatStoryLine(line))
  if (story.length === 0) print(`none of ${lines.length} lines names ${requestId}; successes are sampled, see docs/reference/logs.md`)
  if (skipped > 0) print(`${skipped} lines were no log lines`)
}

/** @throws ERR_GULLWALL_BAD_CONFIGURATION if a file can't be read */
function readLog (file: string): string {
  try {
    return readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8')
  } catch (error) {
    throw new GullwallError('ERR_GULLWALL_BAD_CONFIGURATION', `can't read ${file}: ${messageOf(error)}`, { step: 'read logs', peer: file })
  }
}

async function explainFromProcesses (requestId: string, addresses: readonly string[]): Promise<void> {
  if (addresses.length === 0) throw missing('neither logs nor admin addresses', 'give --logs FILE, or --admin ADDRESS')
  const decisions: RememberedDecision[] = []
  for (const address of addresses) {
    const answer = await request(`http://${address}/explain?request=${encodeURIComponent(requestId)}`)
    decisions.push(...await answer.body.json() as RememberedDecision[])
  }
  decisions.sort((left, right) => left.time.localeCompare(right.time))
  for (const { time, decision, endpoint, why, ran } of decisions) print(`${time}  ${decision.padEnd(8)} ${endpoint ?? '-'}  ${why}  (ran: ${ran ?? 'no'})`)
  if (decisions.length === 0) print('no process remembers this request; try its log lines with --logs')
}
