/** Prints the results of changes and sets the exit code. */
import { formatMistakes } from '@gullwall/config.checker'
import { type OperatorClient } from '@gullwall/cli.client'
import { type ApplyResult, type Difference } from '@gullwall/control.state'
import { print } from './options.ts'

export const EXIT_CONFLICT = 3
export const EXIT_LAGGING = 4
const EXIT_INVALID = 2
const WAIT_DEADLINE_MS = 10_000

/** Prints a result, and sets the exit code unless the changes were accepted. */
export function printResult (result: ApplyResult): void {
  switch (result.type) {
    case 'accepted':
      print(`accepted as revision ${result.revision}`)
      break
    case 'conflict':
      print(`conflict: revision ${result.revision} is in force, by operation ${result.operationId} of ${result.operator}`)
      for (const difference of result.difference) print(formatDifference(difference))
      process.exitCode = EXIT_CONFLICT
      break
    case 'invalid':
      print(`refused, nothing was applied:\n${formatMistakes(result.mistakes)}`)
      process.exitCode = EXIT_INVALID
  }
}

/** Waits until a change is in force at all linked processes, or prints those with an older revision at the deadline. */
export async function waitUntilInForce (client: OperatorClient, result: ApplyResult): Promise<void> {
  if (result.type !== 'accepted') return
  const lagging = await client.waitUntilInForce(result.revision, WAIT_DEADLINE_MS)
  if (lagging.length === 0) {
    print('in force at every linked process')
    return
  }
  for (const { process: name, revision } of lagging) print(`lagging: ${name} has revision ${revision}`)
  process.exitCode = EXIT_LAGGING
}

export function formatDifference ({ key, before, after }: Difference): string {
  return `  ${key}\n    - ${before ?? '(none)'}\n    + ${after ?? '(none)'}`
}
