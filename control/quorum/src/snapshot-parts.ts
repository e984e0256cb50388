/** The messages by which a leader sends its snapshot file to a member. */
import { createHash } from 'node:crypto'
import { type MessageOf } from '@gullwall/transport.messages'
import { type SnapshotFile } from './replicated-log.ts'

export type SnapshotMessage = MessageOf<'snapshotPart'> | MessageOf<'install'>

export interface SnapshotPartsOptions {
  file: SnapshotFile
  /** What each message says of its receiver and sender. */
  header: Pick<SnapshotMessage, 'to' | 'term' | 'leader'>
  partBytes: number
  /** False for members of builds that know only parts of text. */
  takesBytes: boolean
}

/** Bytes that continue a character in UTF-8 begin with the bits 10. */
const CONTINUATION_MASK = 0xc0
const CONTINUATION = 0x80

/** Gives the messages of a snapshot in order, each once the one before was taken. */
export function createSnapshotParts (options: SnapshotPartsOptions): Generator<SnapshotMessage> {
  return options.takesBytes ? cutBytes(options) : cutText(options)
}

/** The last part carries a digest of all that was sent, by which the member knows that it holds the same. */
function * cutBytes ({ file: { index, data }, header, partBytes }: SnapshotPartsOptions): Generator<MessageOf<'snapshotPart'>> {
  const hash = createHash('sha256')
  for (let offset = 0; offset < data.length; offset += partBytes) {
    const part = data.subarray(offset, offset + partBytes)
    hash.update(part)
    const isLast = offset + partBytes >= data.length
    yield { kind: 'snapshotPart', ...header, index, offset, size: data.length, data: part, ...(isLast ? { digest: hash.digest('hex') } : {}) }
  }
}

/** A link replaces half a character by another one, so that no part ends inside a character. */
function * cutText ({ file: { index, data }, header, partBytes }: SnapshotPartsOptions): Generator<MessageOf<'install'>> {
  let offset = 0
  let start = 0
  while (start < data.length) {
    const end = findCharacterStart(data, Math.min(start + partBytes, data.length))
    const text = data.toString('utf8', start, end)
    yield { kind: 'install', ...header, index, offset, last: end === data.length, data: text }
    offset += text.length
    start = end
  }
}

/** The first character that starts at an offset or behind it. */
function findCharacterStart (data: Buffer, from: number): number {
  let start = from
  while (start < data.length && ((data[start] ?? 0) & CONTINUATION_MASK) === CONTINUATION) start += 1
  return start
}
