/** The command that shows the decisions on one request, from the memory of processes or from log lines. */
import { command, positional, string } from 'cmd-ts'
import { request } from 'undici'
import { formatStoryLine, buildStory } from '@gullwall/cli.story'
import { logFiles, readLogs, formatSkippedLines } from '../logs.ts'
import { resolveAdminAddresses, admins, missingArgument, print } from '../options.ts'

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
    logs: logFiles
  },
  handler: async ({ request: requestId, admin, logs }) => {
    if (logs.length > 0) explainFromLogs(requestId, logs)
    else await explainFromProcesses(requestId, resolveAdminAddresses(admin))
  }
})

function explainFromLogs (requestId: string, files: readonly string[]): void {
  const { lines, skipped } = readLogs(files)
  const story = buildStory(lines, requestId)
  for (const line of story) print(formatStoryLine(line))
  if (story.length === 0) print(`none of ${lines.length} lines names ${requestId}; successes are sampled, see docs/reference/logs.md`)
  if (skipped > 0) print(formatSkippedLines(skipped))
}

async function explainFromProcesses (requestId: string, addresses: readonly string[]): Promise<void> {
  if (addresses.length === 0) throw missingArgument('neither logs nor admin addresses', 'give --logs FILE, or --admin ADDRESS')
  const decisions: RememberedDecision[] = []
  for (const address of addresses) {
    const answer = await request(`http://${address}/explain?request=${encodeURIComponent(requestId)}`)
    decisions.push(...await answer.body.json() as RememberedDecision[])
  }
  decisions.sort((left, right) => left.time.localeCompare(right.time))
  for (const { time, decision, endpoint, why, ran } of decisions) print(`${time}  ${decision.padEnd(8)} ${endpoint ?? '-'}  ${why}  (ran: ${ran ?? 'no'})`)
  if (decisions.length === 0) print('no process remembers this request; try its log lines with --logs')
}
