/**
 * The log on disk. Each record has a mark, its length, a checksum, and the
 * offset at which the write that brought it began. A torn tail, as a crash leaves
 * it, is cut: all of it lies in one write that was not synced. Damage before that
 * stops the process, since acknowledged entries would be lost.
 */
import { crc32 } from 'node:zlib'
import { GullwallError } from '@gullwall/core.error'
import { type LogEntry } from '@gullwall/transport.messages'
import { type Disk } from './disk.ts'

const FILE = 'log'
const MARK = Buffer.from('gwL2')
const LENGTH_AT = MARK.length
const CHECKSUM_AT = LENGTH_AT + 4
const BATCH_AT = CHECKSUM_AT + 4
const BATCH_BYTES = 6
const HEADER_BYTES = BATCH_AT + BATCH_BYTES

/** An entry with the place of its record, to cut the log before it. */
interface Located {
  entry: LogEntry
  offset: number
}

export class LogFile {
  private offsets: Array<{ index: number, offset: number }> = []
  private length = 0
  /** A write has failed: there may be bytes behind the end. */
  private hasTail = false

  private constructor (private readonly disk: Disk) {}

  /** Opens the log and gives the entries in it. */
  static async open (disk: Disk): Promise<{ log: LogFile, entries: LogEntry[] }> {
    const log = new LogFile(disk)
    const content = await disk.read(FILE) ?? Buffer.alloc(0)
    const located = readRecords(content)
    const end = endOf(content, located)
    if (end < content.length) {
      assertTorn(content, end)
      await disk.truncate(FILE, end)
    }
    log.length = end
    log.offsets = located.map(({ entry, offset }) => ({ index: entry.index, offset }))
    return { log, entries: located.map(({ entry }) => entry) }
  }

  /** Appends entries with one sync for all of them. */
  async append (entries: readonly LogEntry[]): Promise<void> {
    const batch = this.length
    const records = entries.map((entry) => encode(entry, batch))
    let offset = batch
    const added = entries.map((entry, position) => {
      const place = { index: entry.index, offset }
      offset += records[position]?.length ?? 0
      return place
    })
    if (this.hasTail) await this.disk.truncate(FILE, batch)
    this.hasTail = true
    await this.disk.append(FILE, Buffer.concat(records))
    this.hasTail = false
    this.offsets.push(...added)
    this.length = offset
  }

  /** Drops the entries from an index on. */
  async cutFrom (index: number): Promise<void> {
    const position = this.offsets.findIndex((place) => place.index >= index)
    const place = this.offsets[position]
    if (place === undefined) return
    await this.disk.truncate(FILE, place.offset)
    this.offsets.length = position
    this.length = place.offset
  }

  /** Replaces the whole log, as after a snapshot. */
  async rewrite (entries: readonly LogEntry[]): Promise<void> {
    const records = entries.map((entry) => encode(entry, 0))
    await this.disk.replace(FILE, Buffer.concat(records))
    this.hasTail = false
    let offset = 0
    this.offsets = entries.map((entry, position) => {
      const place = { index: entry.index, offset }
      offset += records[position]?.length ?? 0
      return place
    })
    this.length = offset
  }
}

function encode (entry: LogEntry, batch: number): Buffer {
  const data = Buffer.from(JSON.stringify(entry))
  const header = Buffer.alloc(HEADER_BYTES)
  MARK.copy(header)
  header.writeUInt32LE(data.length, LENGTH_AT)
  header.writeUInt32LE(crc32(data), CHECKSUM_AT)
  header.writeUIntLE(batch, BATCH_AT, BATCH_BYTES)
  return Buffer.concat([header, data])
}

function readRecords (content: Buffer): Located[] {
  const found: Located[] = []
  let offset = 0
  for (let entry = recordAt(content, 0); entry !== undefined; entry = recordAt(content, offset)) {
    found.push({ entry, offset })
    offset += HEADER_BYTES + content.readUInt32LE(offset + LENGTH_AT)
  }
  return found
}

/** Gives the entry at an offset, or undefined if no intact record is there. */
function recordAt (content: Buffer, offset: number): LogEntry | undefined {
  if (offset + HEADER_BYTES > content.length) return undefined
  if (!content.subarray(offset, offset + MARK.length).equals(MARK)) return undefined
  const length = content.readUInt32LE(offset + LENGTH_AT)
  const data = content.subarray(offset + HEADER_BYTES, offset + HEADER_BYTES + length)
  if (data.length < length || crc32(data) !== content.readUInt32LE(offset + CHECKSUM_AT)) return undefined
  return JSON.parse(data.toString('utf8')) as LogEntry
}

function endOf (content: Buffer, located: readonly Located[]): number {
  const last = located.at(-1)
  return last === undefined ? 0 : last.offset + HEADER_BYTES + content.readUInt32LE(last.offset + LENGTH_AT)
}

function assertTorn (content: Buffer, end: number): void {
  for (let mark = content.indexOf(MARK, end + 1); mark >= 0; mark = content.indexOf(MARK, mark + 1)) {
    if (recordAt(content, mark) === undefined || content.readUIntLE(mark + BATCH_AT, BATCH_BYTES) <= end) continue
    throw new GullwallError('ERR_GULLWALL_DAMAGED', `the log is damaged at byte ${end}, before intact records`, {
      step: 'read log', hint: 'remove this member, empty its data folder and add it again'
    })
  }
}
