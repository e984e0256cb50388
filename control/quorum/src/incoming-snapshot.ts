/** Joins the parts of a leader's snapshot as they arrive, and checks that the whole equals what the leader has. */
import { createHash, type Hash } from 'node:crypto'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type MessageOf } from '@gullwall/transport.messages'
import { type SnapshotMessage } from './snapshot-parts.ts'

/** The longest snapshot that is taken, in bytes or UTF-16 units; a process that held a longer one would exceed its memory. */
const MAX_SNAPSHOT_SIZE = 64 * 1024 * 1024
/** What a link carries in place of half a character. */
const REPLACEMENT = '\ufffd'

/** A snapshot of which some parts are there. */
interface Assembly {
  readonly id: string
  /** How much is there, in the unit of the parts' offsets. */
  readonly length: number
  /** Returns the whole with the last part, and undefined before. */
  add (part: SnapshotMessage): Buffer | undefined
}

export class IncomingSnapshot {
  private assembly: Assembly | undefined

  /** @param onRefused told why a part or the whole was refused */
  constructor (private readonly onRefused: (why: string) => void) {}

  /**
   * Adds a part. Returns the whole snapshot file with the last part, and undefined before. A part of another snapshot is refused: a call
   * that timed out may still arrive between the parts of the next snapshot.
   * @throws ERR_GULLWALL_SNAPSHOT_GAP if the part does not follow those that were added
   * @throws ERR_GULLWALL_SNAPSHOT_TOO_LARGE if the snapshot is longer than what is taken
   * @throws ERR_GULLWALL_SNAPSHOT_DAMAGED if the whole differs from what the leader has
   */
  add (part: SnapshotMessage): Buffer | undefined {
    try {
      return this.addPart(part)
    } catch (thrown) {
      this.onRefused(messageOf(thrown))
      throw thrown
    }
  }

  private addPart (part: SnapshotMessage): Buffer | undefined {
    const id = idOf(part)
    if (part.offset === 0) this.assembly = part.kind === 'install' ? new TextAssembly(id) : new ByteAssembly(id, part)
    const { assembly } = this
    if (id !== assembly?.id || part.offset !== assembly.length) {
      throw error('GAP', part, `the part at ${part.offset} does not follow the ${assembly?.length ?? 0} units of this snapshot`)
    }
    if (part.kind === 'install' ? part.last : part.digest !== undefined) this.assembly = undefined
    return assembly.add(part)
  }
}

/** Parts in bytes, whose whole has the digest that the leader gives. */
class ByteAssembly implements Assembly {
  length = 0
  private readonly data: Buffer
  private readonly hash: Hash = createHash('sha256')

  constructor (readonly id: string, first: MessageOf<'snapshotPart'>) {
    if (first.size > MAX_SNAPSHOT_SIZE) throw error('TOO_LARGE', first, `${first.size} bytes; at most ${MAX_SNAPSHOT_SIZE} are taken`)
    this.data = Buffer.allocUnsafe(first.size)
  }

  add (part: SnapshotMessage): Buffer | undefined {
    if (part.kind !== 'snapshotPart') throw error('GAP', part, 'text follows bytes')
    const end = this.length + part.data.length
    if (part.size !== this.data.length || end > part.size) throw error('DAMAGED', part, `${end} bytes of ${this.data.length}`)
    this.data.set(part.data, this.length)
    this.hash.update(part.data)
    this.length = end
    if (part.digest === undefined) return undefined
    const digest = this.hash.digest('hex')
    if (end !== part.size || digest !== part.digest) {
      throw error('DAMAGED', part, `${end} of ${part.size} bytes with the digest ${digest}; the leader has ${part.digest}`)
    }
    return this.data
  }
}

/** Parts in text, from a leader that gives no digest. */
class TextAssembly implements Assembly {
  private text = ''

  constructor (readonly id: string) {}

  get length (): number {
    return this.text.length
  }

  add (part: SnapshotMessage): Buffer | undefined {
    if (part.kind !== 'install') throw error('GAP', part, 'bytes follow text')
    // Such leaders cut between the halves of a character too, each of which a link replaces. A later snapshot is cut elsewhere.
    if (this.text.endsWith(REPLACEMENT) && part.data.startsWith(REPLACEMENT)) throw error('DAMAGED', part, `a character is cut at ${part.offset}`)
    if (this.length + part.data.length > MAX_SNAPSHOT_SIZE) throw error('TOO_LARGE', part, `at most ${MAX_SNAPSHOT_SIZE} UTF-16 units are taken`)
    this.text += part.data
    return part.last ? Buffer.from(this.text) : undefined
  }
}

/** A leader takes one snapshot at an index. Leaders of builds that do not send the index are told apart by their term only. */
function idOf ({ leader, term, index }: SnapshotMessage): string {
  return `${leader} ${term} ${index ?? ''}`
}

function error (what: 'GAP' | 'TOO_LARGE' | 'DAMAGED', { leader, index }: SnapshotMessage, message: string): GullwallError {
  return new GullwallError(`ERR_GULLWALL_SNAPSHOT_${what}`, `snapshot at ${index ?? 'an unknown index'}: ${message}`, { step: 'quorum install', peer: leader })
}
