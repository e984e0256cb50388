/** The log of one member: entries in memory and on disk, and the snapshot before them. */
import { GullwallError } from '@gullwall/core.error'
import { LogFile, readChecked, readCheckedBytes, writeChecked, type Disk } from '@gullwall/control.storage'
import { type LogEntry } from '@gullwall/transport.messages'
import { parseData } from './entry-data.ts'
import { NO_MEMBERS, type Membership } from './members.ts'

const SNAPSHOT_FILE = 'snapshot'
const SNAPSHOT_START = /^\{"index":(\d+),/
const SNAPSHOT_START_BYTES = 40

/** The state up to an index, with what the log must know of the entries it replaces. */
export interface Snapshot {
  /** Stands first in the file: see {@link readIndex}. */
  index: number
  term: number
  membership: Membership
  state: string
}

/** The file of a snapshot and the index up to which it holds the state. */
export interface SnapshotFile {
  index: number
  data: Buffer
}

const EMPTY_SNAPSHOT: Snapshot = { index: 0, term: 0, membership: NO_MEMBERS, state: '' }

export class ReplicatedLog {
  /** The index up to which entries are synced here. */
  syncedIndex: number
  /** The memberships in the log after the snapshot, by index. */
  private memberships: Array<{ index: number, membership: Membership }> = []

  private constructor (
    private readonly disk: Disk,
    private readonly file: LogFile,
    private entries: LogEntry[],
    private base: Omit<Snapshot, 'state'>
  ) {
    this.syncedIndex = this.lastIndex
    this.findMemberships()
  }

  static async open (disk: Disk): Promise<{ log: ReplicatedLog, snapshot: Snapshot }> {
    const text = await readChecked(disk, SNAPSHOT_FILE)
    const snapshot = text === undefined ? EMPTY_SNAPSHOT : JSON.parse(text) as Snapshot
    const { log, entries } = await LogFile.open(disk)
    const later = entries.filter((entry) => entry.index > snapshot.index)
    assertContiguous(later, snapshot.index)
    return { log: new ReplicatedLog(disk, log, later, withoutState(snapshot)), snapshot }
  }

  get lastIndex (): number {
    return this.base.index + this.entries.length
  }

  get lastTerm (): number {
    return this.entries.at(-1)?.term ?? this.base.term
  }

  get snapshotIndex (): number {
    return this.base.index
  }

  /** The membership in force: the latest in the log, committed or not. */
  get membership (): Membership {
    return this.memberships.at(-1)?.membership ?? this.base.membership
  }

  /** The index of the latest membership in the log; 0 if it is in the snapshot. */
  get membershipIndex (): number {
    return this.memberships.at(-1)?.index ?? 0
  }

  entryAt (index: number): LogEntry | undefined {
    return this.entries[index - this.base.index - 1]
  }

  /** The term of the entry at an index, or undefined if that is not known here. */
  termAt (index: number): number | undefined {
    return index === this.base.index ? this.base.term : this.entryAt(index)?.term
  }

  /** Entries from an index on, up to a number of characters, but at least one: a longer entry goes alone. */
  slice (from: number, maxCharacters: number): LogEntry[] {
    const taken: LogEntry[] = []
    let characters = 0
    for (let index = from; index <= this.lastIndex; index++) {
      const entry = this.entryAt(index)
      if (entry === undefined) break
      characters += entry.data.length
      if (taken.length > 0 && characters > maxCharacters) break
      taken.push(entry)
    }
    return taken
  }

  /** Adds an entry in memory; {@link sync} makes it durable. */
  add (term: number, data: string): LogEntry {
    const entry = { index: this.lastIndex + 1, term, data }
    this.entries.push(entry)
    this.noteMembership(entry)
    return entry
  }

  /** Writes and syncs, at once, all that was added. */
  async sync (): Promise<void> {
    const pending = this.entries.slice(this.syncedIndex - this.base.index)
    if (pending.length === 0) return
    await this.file.append(pending)
    this.syncedIndex = pending.at(-1)?.index ?? this.syncedIndex
  }

  /** Takes entries of a leader: those that differ from it are dropped first. Resolves when all are synced. */
  async take (entries: readonly LogEntry[]): Promise<void> {
    await this.sync()
    const firstNew = entries.findIndex((entry) => this.termAt(entry.index) !== entry.term && entry.index > this.base.index)
    if (firstNew < 0) return
    const fresh = entries.slice(firstNew)
    const from = fresh[0]?.index ?? 0
    if (from <= this.lastIndex) await this.cutFrom(from)
    this.entries.push(...fresh)
    fresh.forEach((entry) => this.noteMembership(entry))
    await this.sync()
  }

  /** Replaces the entries up to an index by a snapshot of the state. */
  async compact (index: number, state: string): Promise<void> {
    const term = this.termAt(index)
    if (term === undefined || index <= this.base.index) return
    await this.sync()
    const snapshot: Snapshot = { index, term, membership: this.membershipAt(index), state }
    await this.replaceBase(snapshot, JSON.stringify(snapshot), this.entries.slice(index - this.base.index))
  }

  /**
   * Replaces everything by a leader's snapshot.
   * @param data the leader's file, which is stored as it is
   */
  async install (snapshot: Snapshot, data: Uint8Array): Promise<void> {
    const keeps = this.termAt(snapshot.index) === snapshot.term
    await this.replaceBase(snapshot, data, keeps ? this.entries.slice(snapshot.index - this.base.index) : [])
  }

  /** Reads the snapshot file, to be sent to a member that is far behind. */
  async readSnapshot (): Promise<SnapshotFile> {
    const data = await readCheckedBytes(this.disk, SNAPSHOT_FILE) ?? Buffer.from(JSON.stringify(EMPTY_SNAPSHOT))
    return { index: readIndex(data), data }
  }

  private membershipAt (index: number): Membership {
    return this.memberships.findLast((known) => known.index <= index)?.membership ?? this.base.membership
  }

  private noteMembership (entry: LogEntry): void {
    const data = parseData(entry.data)
    if (data.type === 'membership') this.memberships.push({ index: entry.index, membership: data.membership })
  }

  private findMemberships (): void {
    this.memberships = []
    this.entries.forEach((entry) => this.noteMembership(entry))
  }

  private async cutFrom (index: number): Promise<void> {
    await this.file.cutFrom(index)
    this.entries.length = index - this.base.index - 1
    this.syncedIndex = this.lastIndex
    this.findMemberships()
  }

  private async replaceBase (snapshot: Snapshot, content: string | Uint8Array, later: LogEntry[]): Promise<void> {
    // The snapshot must be there before the entries it replaces are gone.
    await writeChecked(this.disk, SNAPSHOT_FILE, content)
    await this.file.rewrite(later)
    // Entries may have been added in memory while the files were written.
    const added = this.entries.filter((entry) => entry.index > this.syncedIndex)
    this.base = withoutState(snapshot)
    this.entries = [...later, ...added.filter((entry) => entry.index > this.base.index + later.length)]
    this.syncedIndex = this.base.index + later.length
    this.findMemberships()
  }
}

/** Reads the index of a snapshot file without parsing the state, which may be long. */
function readIndex (data: Buffer): number {
  const digits = SNAPSHOT_START.exec(data.toString('latin1', 0, SNAPSHOT_START_BYTES))?.[1]
  if (digits !== undefined) return Number(digits)
  throw new GullwallError('ERR_GULLWALL_DAMAGED', 'the snapshot does not begin with its index', {
    step: 'read snapshot', hint: 'remove this member, empty its data folder and add it again'
  })
}

function withoutState ({ index, term, membership }: Snapshot): Omit<Snapshot, 'state'> {
  return { index, term, membership }
}

function assertContiguous (entries: readonly LogEntry[], base: number): void {
  const broken = entries.findIndex((entry, position) => entry.index !== base + 1 + position)
  if (broken < 0) return
  throw new GullwallError('ERR_GULLWALL_DAMAGED', `the log lacks entries before ${entries[broken]?.index ?? 0}`, {
    step: 'read log', hint: 'remove this member, empty its data folder and add it again'
  })
}
