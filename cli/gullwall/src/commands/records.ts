/** Commands for operators' records. */
import { readFileSync } from 'node:fs'
import { command, flag, number, oneOf, option, optional, positional, restPositionals, string } from 'cmd-ts'
import { checkToml, orThrow } from '@gullwall/config.checker'
import { checkRecordsFile, splitRecordKey, type RecordChange } from '@gullwall/config.records'
import { SETTINGS_SCHEMAS } from '@gullwall/config.settings'
import { type OperatorClient } from '@gullwall/cli.client'
import { connection, missingArgument, print, withClient } from '../options.ts'
import { printResult, waitUntilInForce } from '../results.ts'

const wait = flag({ long: 'wait', description: 'wait until the change is in force at all linked processes; print those with an older revision' })
const recordKey = positional({ type: string, displayName: 'KIND/NAME' })

export const applyCommand = command({
  name: 'apply',
  description: 'Applies the records of a file, all or none.\nExample: gullwall apply records.toml --expect 41 --wait',
  args: {
    ...connection,
    file: positional({ type: string, displayName: 'FILE' }),
    expect: option({ type: optional(number), long: 'expect', description: 'the revision that the change is based on; any other one is a conflict' }),
    operation: option({ type: optional(string), long: 'operation', description: 'id of the operation, which allows it to be repeated after a lost response' }),
    wait
  },
  handler: async (args) => await withClient(args, async (client) => {
    const changes = readRecords(args.file)
    const result = await client.apply(changes, { expectedRevision: args.expect, operationId: args.operation })
    printResult(result)
    if (args.wait) await waitUntilInForce(client, result)
  })
})

export const checkCommand = command({
  name: 'check',
  description: 'Checks a file without a connection, and lists all mistakes.\nExample: gullwall check entry.toml --as entry',
  args: {
    file: positional({ type: string, displayName: 'FILE' }),
    as: option({ type: oneOf(['records', 'entry', 'sidecar', 'control'] as const), long: 'as', defaultValue: () => 'records' as const, description: 'what the file holds: records, or the settings of a program' })
  },
  handler: ({ file, as }) => {
    if (as === 'records') {
      print(`${readRecords(file).length} records are valid`)
      return
    }
    orThrow(checkToml<unknown>(readFileSync(file, 'utf8'), SETTINGS_SCHEMAS[as], { file }), 'check')
    print(`the settings of ${as} are valid`)
  }
})

export const getCommand = command({
  name: 'get',
  description: 'Prints records as JSON.\nExamples: gullwall get; gullwall get class; gullwall get class/workshop',
  args: { ...connection, which: positional({ type: optional(string), displayName: 'KIND[/NAME]' }) },
  handler: async (args) => await withClient(args, async (client) => {
    const { revision, records } = await client.records()
    const isWanted = (key: string) => args.which === undefined || key === args.which || splitRecordKey(key).kind === args.which
    const wanted = Object.entries(records).filter(([key]) => isWanted(key))
    print(JSON.stringify({ revision, records: Object.fromEntries(wanted.map(([key, value]) => [key, JSON.parse(value)])) }, null, 2))
  })
})

export const deleteCommand = command({
  name: 'delete',
  description: 'Deletes a record that no other refers to.\nExample: gullwall delete class/nightly',
  args: { ...connection, key: recordKey, wait },
  handler: async (args) => await withClient(args, async (client) => {
    const result = await client.apply([{ key: args.key, value: null }])
    printResult(result)
    if (args.wait) await waitUntilInForce(client, result)
  })
})

export const labelCommand = command({
  name: 'label',
  description: 'Sets or removes labels of a record.\nExample: gullwall label endpoint/g1 gpu=a100 spot-',
  args: { ...connection, key: recordKey, labels: restPositionals({ type: string, displayName: 'KEY=VALUE or KEY-' }), wait },
  handler: async (args) => await withClient(args, async (client) => {
    await editRecord(client, args, (record) => ({ ...record, labels: changeLabels(record.labels ?? {}, args.labels) }))
  })
})

export const drainCommand = cordonCommand('drain', true, 'Sends no new requests to an endpoint; running requests are completed.\nExample: gullwall drain g1 --wait')
export const undrainCommand = cordonCommand('undrain', false, 'Sends requests to an endpoint again.\nExample: gullwall undrain g1')

interface LabelledRecord {
  labels?: Record<string, string>
  cordoned?: boolean
}

function cordonCommand (name: string, cordoned: boolean, description: string) {
  return command({
    name,
    description,
    args: { ...connection, endpoint: positional({ type: string, displayName: 'ENDPOINT' }), wait },
    handler: async (args) => await withClient(args, async (client) => {
      await editRecord(client, { key: `endpoint/${args.endpoint}`, wait: args.wait }, (record) => ({ ...record, cordoned }))
    })
  })
}

/** Changes one record based on the revision at which it was read, so that no other change is overwritten. */
async function editRecord (
  client: OperatorClient, args: { key: string, wait: boolean }, change: (record: LabelledRecord) => LabelledRecord
): Promise<void> {
  const { revision, records } = await client.records()
  const text = records[args.key]
  if (text === undefined && splitRecordKey(args.key).kind !== 'endpoint') throw missingArgument(`no record ${args.key}`, 'see `gullwall get`')
  const record = change(text === undefined ? {} : JSON.parse(text) as LabelledRecord)
  const result = await client.apply([{ key: args.key, value: JSON.stringify(record) }], { expectedRevision: revision })
  printResult(result)
  if (args.wait) await waitUntilInForce(client, result)
}

function changeLabels (labels: Record<string, string>, changes: readonly string[]): Record<string, string> {
  const changed = { ...labels }
  for (const text of changes) {
    const set = /^([^=]+)=(.+)$/.exec(text)
    if (set !== null) changed[set[1] ?? ''] = set[2] ?? ''
    else if (text.endsWith('-')) delete changed[text.slice(0, -1)]
    else throw missingArgument(`label ${text}`, 'give KEY=VALUE to set a label, KEY- to remove one')
  }
  return changed
}

export function readRecords (file: string): RecordChange[] {
  return orThrow(checkRecordsFile(readFileSync(file, 'utf8'), file), 'read records')
}
