/** `npm run bench:capacity`: measures the slopes of docs/CAPACITY.md again. */
import { writeFileSync } from 'node:fs'
import { command, option, optional, run, string } from 'cmd-ts'
import { fail } from '@gullwall/core.kernel/program'
import { measureControl, measureLinkSlopes, measureRecordMemory } from '@gullwall/bench.capacity'

const program = command({
  name: 'bench-capacity',
  description: 'Measures the slopes that docs/CAPACITY.md is worked out from.\nExample: npm run bench:capacity -- --json capacity.json',
  args: {
    only: option({ type: optional(string), long: 'only', description: 'records, links or control' }),
    json: option({ type: optional(string), long: 'json', description: 'write the results to this file' })
  },
  handler: async ({ only, json }) => {
    const wanted = (name: string) => only === undefined || only === name
    const result = {
      recordMemoryBytes: wanted('records') ? measureRecordMemory() : undefined,
      control: wanted('control') ? await measureControl() : undefined,
      entryLinks: wanted('links') ? await measureLinkSlopes() : undefined
    }
    const text = JSON.stringify(result, null, 2)
    process.stdout.write(`${text}\n`)
    if (json !== undefined) writeFileSync(json, text)
    process.exit(0)
  }
})

run(program, process.argv.slice(2)).catch(fail)
