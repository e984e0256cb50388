/** Commands for the history of changes, and for the export and restore of all records. */
import { writeFileSync } from 'node:fs'
import { command, number, option, optional, positional, string } from 'cmd-ts'
import { stringify } from 'smol-toml'
import { RECORD_KINDS, splitRecordKey } from '@gullwall/config.records'
import { connection, print, withClient } from '../options.ts'
import { formatDifference, printResult } from '../results.ts'
import { readRecords } from './records.ts'

export const historyCommand = command({
  name: 'history',
  description: 'Lists accepted operations.\nExample: gullwall history --since 40',
  args: { ...connection, since: option({ type: number, long: 'since', defaultValue: () => 0, description: 'after this revision' }) },
  handler: async (args) => await withClient(args, async (client) => {
    for (const entry of await client.history(args.since)) {
      print(`${entry.revision}  ${entry.at}  ${entry.operator}  ${entry.operationId}  ${entry.difference.map(({ key }) => key).join(', ')}`)
    }
  })
})

export const diffCommand = command({
  name: 'diff',
  description: 'Shows what changed between two revisions.\nExample: gullwall diff 40 42',
  args: {
    ...connection,
    from: positional({ type: number, displayName: 'FROM' }),
    to: positional({ type: optional(number), displayName: 'TO' })
  },
  handler: async (args) => await withClient(args, async (client) => {
    const entries = (await client.history(args.from)).filter((entry) => args.to === undefined || entry.revision <= args.to)
    for (const entry of entries) {
      print(`revision ${entry.revision} by ${entry.operator}`)
      for (const difference of entry.difference) print(formatDifference(difference))
    }
  })
})

export const exportCommand = command({
  name: 'export',
  description: 'Writes all records to a file that `apply` and `restore` read.\nExample: gullwall export backup.toml',
  args: { ...connection, file: positional({ type: string, displayName: 'FILE' }) },
  handler: async (args) => await withClient(args, async (client) => {
    const { revision, records } = await client.records()
    writeFileSync(args.file, `# Records of revision ${revision}.\n${toToml(records)}`)
    print(`${Object.keys(records).length} records of revision ${revision} are in ${args.file}`)
  })
})

export const restoreCommand = command({
  name: 'restore',
  description: 'Replaces all records by those of a file; records that the file lacks are deleted.\nExample: gullwall restore backup.toml',
  args: { ...connection, file: positional({ type: string, displayName: 'FILE' }) },
  handler: async (args) => await withClient(args, async (client) => {
    const wanted = readRecords(args.file)
    const { revision, records } = await client.records()
    const changes = [...wanted, ...findSurplusKeys(Object.keys(records), wanted).map((key) => ({ key, value: null }))]
    printResult(await client.apply(changes, { expectedRevision: revision }))
  })
})

/** Returns the keys of records that a file lacks. Records that a file can't contain, such as evacuations, are not included. */
export function findSurplusKeys (keys: readonly string[], wanted: ReadonlyArray<{ key: string }>): string[] {
  const restorable = keys.filter((key) => RECORD_KINDS.some((kind) => kind === splitRecordKey(key).kind))
  return restorable.filter((key) => !wanted.some((change) => change.key === key))
}

function toToml (records: Record<string, string>): string {
  const tables: Record<string, Record<string, unknown>> = {}
  for (const kind of RECORD_KINDS) {
    const ofKind = Object.entries(records).filter(([key]) => splitRecordKey(key).kind === kind)
    if (ofKind.length > 0) tables[kind] = Object.fromEntries(ofKind.map(([key, value]) => [splitRecordKey(key).name, JSON.parse(value)]))
  }
  return stringify(tables)
}
