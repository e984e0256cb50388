/**
 * The records a process holds. Records stay JSON text and are decoded on use,
 * with a small cache: tens of thousands of organisations must fit in memory.
 */
import { type RecordChange } from './file.ts'
import { type ClassRecord, type EndpointRecord, type OrganisationRecord, type RecordKind, type SelectorRecord } from './schemas.ts'

interface RecordTypes {
  class: ClassRecord
  organisation: OrganisationRecord
  selector: SelectorRecord
  endpoint: EndpointRecord
  model: { labels: Record<string, string> }
  adapter: { model: string, labels: Record<string, string> }
}

const DECODED_CACHE_SIZE = 2000

export class RecordMap {
  private readonly texts = new Map<string, string>()
  private readonly decoded = new Map<string, object>()

  get size (): number {
    return this.texts.size
  }

  has (key: string): boolean {
    return this.texts.has(key)
  }

  text (key: string): string | undefined {
    return this.texts.get(key)
  }

  /** Gives a record, decoded. */
  get<Kind extends RecordKind> (kind: Kind, name: string): RecordTypes[Kind] | undefined {
    const key = `${kind}/${name}`
    const cached = this.decoded.get(key)
    if (cached !== undefined) return cached as RecordTypes[Kind]
    const text = this.texts.get(key)
    if (text === undefined) return undefined
    const record = JSON.parse(text) as RecordTypes[Kind]
    if (this.decoded.size >= DECODED_CACHE_SIZE) this.decoded.clear()
    this.decoded.set(key, record)
    return record
  }

  /** The names of the records of one kind. */
  names (kind: RecordKind): string[] {
    const prefix = `${kind}/`
    return [...this.texts.keys()].filter((key) => key.startsWith(prefix)).map((key) => key.slice(prefix.length))
  }

  entries (): IterableIterator<[string, string]> {
    return this.texts.entries()
  }

  apply (changes: readonly RecordChange[]): void {
    for (const { key, value } of changes) {
      this.decoded.delete(key)
      if (value === null) this.texts.delete(key)
      else this.texts.set(key, value)
    }
  }

  /** Replaces everything, as after a snapshot. */
  replace (entries: Iterable<readonly [string, string]>): void {
    this.texts.clear()
    this.decoded.clear()
    for (const [key, value] of entries) this.texts.set(key, value)
  }
}
