/** Turns a TOML file of records into changes of the replicated state. */
import { Either, Left, Right } from 'purify-ts'
import { checkToml, type Mistake } from '@gullwall/config.checker'
import { RECORD_KINDS, RECORD_SCHEMAS, recordsFileSchema, type RecordKind, type RecordsFile } from './schemas.ts'
import { type RecordMap } from './record-map.ts'

/** One change of a record; no value deletes it. */
export interface RecordChange {
  /** `kind/name`. */
  key: string
  /** The record as JSON text. */
  value: string | null
}

/** Parses and checks a file of records on its own. */
export function checkRecordsFile (text: string, file: string): Either<Mistake[], RecordChange[]> {
  return checkToml<RecordsFile>(text, recordsFileSchema, { file }).map(toChanges)
}

/** Checks changes that came over the wire: known kinds, valid values. */
export function checkChanges (changes: readonly RecordChange[]): Either<Mistake[], RecordChange[]> {
  const mistakes = changes.flatMap(mistakesOfChange)
  return mistakes.length > 0 ? Left(mistakes) : Right([...changes])
}

/** Checks that every name a record refers to exists once the changes are in. */
export function checkReferences (changes: readonly RecordChange[], records: RecordMap): Mistake[] {
  const after = (key: string) => {
    const change = changes.findLast((candidate) => candidate.key === key)
    return change === undefined ? records.has(key) : change.value !== null
  }
  return changes.flatMap((change) => {
    const missing = referencesOf(change).filter((key) => !after(key))
    return missing.map((key) => ({ file: 'changes', keyPath: change.key, found: `a reference to ${key}`, allowed: 'records that exist' }))
  })
}

/** Splits a record key into kind and name. */
export function splitRecordKey (key: string): { kind: string, name: string } {
  const slash = key.indexOf('/')
  return { kind: key.slice(0, slash), name: key.slice(slash + 1) }
}

function toChanges (file: RecordsFile): RecordChange[] {
  return RECORD_KINDS.flatMap((kind) => Object.entries(file[kind]).map(([name, record]) => ({
    key: `${kind}/${name}`, value: JSON.stringify(record)
  })))
}

function mistakesOfChange (change: RecordChange): Mistake[] {
  const { kind, name } = splitRecordKey(change.key)
  const where = { file: 'changes', keyPath: change.key }
  const schema = RECORD_SCHEMAS[kind as RecordKind]
  if (schema === undefined || name === '') {
    return [{ ...where, found: 'an unknown kind of record', allowed: RECORD_KINDS.map((known) => `${known}/NAME`).join(', ') }]
  }
  if (change.value === null) return []
  const result = schema.safeParse(parseJson(change.value))
  if (result.success) return []
  return result.error.issues.map((issue) => ({ ...where, found: issue.path.join('.') || 'the record', allowed: issue.message }))
}

function referencesOf (change: RecordChange): string[] {
  if (change.value === null) return []
  const { kind } = splitRecordKey(change.key)
  const record = JSON.parse(change.value) as { classes?: string[], selectorName?: string, model?: string }
  if (kind === 'organisation') return (record.classes ?? []).map((name) => `class/${name}`)
  if (kind === 'class' && record.selectorName !== undefined) return [`selector/${record.selectorName}`]
  if (kind === 'adapter') return [`model/${record.model}`]
  return []
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
