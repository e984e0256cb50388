/** The records that are in force in this process, and the revisions that led there. */
import { type Logger } from '@gullwall/core.logger'
import { RecordMap, type RecordChange } from '@gullwall/config.records'
import { type MessageOf, type Revision } from '@gullwall/transport.messages'

/** How many revisions are kept to bring a peer up to date without a whole copy. */
const MAX_HISTORY = 1000
/** Nor more than so many characters of them, the latest revision aside. */
const MAX_HISTORY_CHARACTERS = 2 * 1024 * 1024

export interface RevisionStoreOptions {
  logger: Logger
}

export class RevisionStore {
  readonly records = new RecordMap()
  private readonly listeners = new Set<() => void>()
  private history: Revision[] = []
  private current = 0
  private incoming: IncomingSnapshot | undefined

  constructor (private readonly options: RevisionStoreOptions) {}

  /** The revision in force; 0 before the first. */
  get revision (): number {
    return this.current
  }

  /** Calls a listener at every change; gives the call that ends it. */
  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Puts one accepted operation in force. */
  apply (revision: number, changes: readonly RecordChange[]): void {
    this.applyFrom(this.current, [{ revision, changes: [...changes] }])
  }

  /**
   * Takes revisions that follow `base`. Those already in force are passed over;
   * where one would be missed, nothing is applied.
   */
  applyFrom (base: number, revisions: readonly Revision[]): boolean {
    if (base > this.current) return false
    const fresh = revisions.filter((revision) => revision.revision > this.current)
    if (fresh.length === 0) return false
    for (const revision of fresh) {
      this.records.apply(revision.changes)
      this.history.push(revision)
      this.current = revision.revision
    }
    this.trimHistory()
    this.changed('by revisions')
    return true
  }

  /** Takes a part of a whole copy; it is put in force with the last part, unless it is not newer. */
  applySnapshotPart (part: MessageOf<'snapshot'>): boolean {
    if (part.part === 0) this.incoming = { revision: part.revision, nextPart: 0, entries: [] }
    const incoming = this.incoming
    if (incoming === undefined || incoming.revision !== part.revision || incoming.nextPart !== part.part) return false
    incoming.entries.push(...part.entries)
    incoming.nextPart += 1
    if (!part.last) return false
    this.incoming = undefined
    return this.replace(part.revision, incoming.entries)
  }

  /** Replaces everything by a whole copy, if that is newer. */
  replace (revision: number, entries: Iterable<readonly [string, string]>): boolean {
    if (revision <= this.current) return false
    this.records.replace(entries)
    this.history = []
    this.current = revision
    this.changed('by a whole copy')
    return true
  }

  /** The revisions after `base`, or undefined if they are no longer all kept. */
  since (base: number): Revision[] | undefined {
    const first = this.history.findIndex((revision) => revision.revision > base)
    if (first < 0) return undefined
    // The revision before the first one wanted must be at `base` or older than it, and kept, or `base` itself.
    const before = this.history[first - 1]
    if (before === undefined && base !== this.baseOfHistory()) return undefined
    return this.history.slice(first)
  }

  private trimHistory (): void {
    let characters = 0
    const tooOld = this.history.findLastIndex((revision, index) => {
      characters += charactersOf(revision)
      const isLatest = index === this.history.length - 1
      return !isLatest && (characters > MAX_HISTORY_CHARACTERS || this.history.length - index > MAX_HISTORY)
    })
    if (tooOld >= 0) this.history = this.history.slice(tooOld + 1)
  }

  private baseOfHistory (): number {
    const first = this.history[0]
    return first === undefined ? this.current : first.revision - 1
  }

  private changed (how: string): void {
    this.options.logger.debug({ channel: 'configuration', event: 'applied', revision: this.current, why: how })
    for (const listener of [...this.listeners]) listener()
  }
}

function charactersOf (revision: Revision): number {
  return revision.changes.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
}

interface IncomingSnapshot {
  revision: number
  nextPart: number
  entries: Array<[string, string]>
}
