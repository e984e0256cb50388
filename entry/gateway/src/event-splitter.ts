/** Splits a byte stream into complete server-sent events, so that no part of an incomplete event is forwarded. */
import { ByteBlocks } from './byte-blocks.ts'

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const COMMENT_START = ':'
const LINE_END = /\r\n|\n|\r/
const LAST_LINE_END = /[\r\n]$/
const ID_LINE = /^id: ?(.*)$/m
/** Number of bytes before a byte that decide whether an event ends with it: a line end of two bytes, and the one before it. */
const LOOK_BEHIND_BYTES = 2
const NO_BYTES = Buffer.alloc(0)

/** Complete events, and the id of the last one. */
export interface CompleteEvents {
  bytes: Buffer
  lastId: string | undefined
}

export class EventSplitter {
  /** The bytes behind the last complete event. Each byte is searched and copied once, however many chunks an event has. */
  private readonly incomplete = new ByteBlocks()
  /** The last of these bytes, which decide whether an event ends with the next ones. */
  private tail: Buffer = NO_BYTES

  /** Adds bytes and returns the events that are now complete; undefined if none is. */
  push (chunk: Buffer): CompleteEvents | undefined {
    const end = endOfLastEvent(chunk, this.tail)
    if (end === 0) {
      this.keep(chunk)
      return undefined
    }
    const complete = this.takeThrough(chunk.subarray(0, end))
    this.tail = NO_BYTES
    this.keep(chunk.subarray(end))
    return { bytes: complete, lastId: lastIdOf(complete) }
  }

  /** Returns the bytes behind the last complete event. They are forwarded only if the stream has ended normally. */
  remainder (): Buffer {
    return this.incomplete.join()
  }

  /** Forgets the bytes behind the last complete event. */
  clear (): void {
    this.incomplete.clear()
    this.tail = NO_BYTES
  }

  /** Number of bytes behind the last complete event. */
  get incompleteBytes (): number {
    return this.incomplete.length
  }

  /** Whether the stream has stopped inside an event or a line. Blank lines and comments behind an event begin no other. */
  get isInsideEvent (): boolean {
    if (this.incompleteBytes === 0) return false
    return !LAST_LINE_END.test(this.tail.toString('latin1')) || hasField(this.remainder())
  }

  private keep (bytes: Buffer): void {
    if (bytes.length === 0) return
    this.incomplete.push(bytes)
    const last = bytes.subarray(-LOOK_BEHIND_BYTES)
    this.tail = last.length < LOOK_BEHIND_BYTES ? Buffer.concat([this.tail, last]).subarray(-LOOK_BEHIND_BYTES) : Buffer.from(last)
  }

  /** Returns the kept bytes and more, and keeps nothing. */
  private takeThrough (bytes: Buffer): Buffer {
    if (this.incomplete.length === 0) return bytes
    this.incomplete.push(bytes)
    const all = this.incomplete.join()
    this.incomplete.clear()
    return all
  }
}

/** Whether bytes contain a field of an event. Blank lines and comments belong to none. */
export function hasField (bytes: Buffer): boolean {
  return bytes.toString('latin1').split(LINE_END).some((line) => line !== '' && !line.startsWith(COMMENT_START))
}

/**
 * Returns the offset behind the last blank line, in which an event ends; 0 if there is none.
 * @param tail the last bytes of the event that came before
 */
function endOfLastEvent (bytes: Buffer, tail: Buffer): number {
  const byteAt = (index: number) => index >= 0 ? bytes[index] : tail[tail.length + index]
  let lineFeed = bytes.lastIndexOf(LINE_FEED)
  let carriageReturn = bytes.lastIndexOf(CARRIAGE_RETURN)
  for (let index = Math.max(lineFeed, carriageReturn); index >= 0; index = Math.max(lineFeed, carriageReturn)) {
    const isPair = byteAt(index) === LINE_FEED && byteAt(index - 1) === CARRIAGE_RETURN
    if (isLineEnd(byteAt(isPair ? index - 2 : index - 1))) return index + 1
    if (index === lineFeed) lineFeed = findBefore(bytes, LINE_FEED, index)
    else carriageReturn = findBefore(bytes, CARRIAGE_RETURN, index)
  }
  return 0
}

function findBefore (bytes: Buffer, byte: number, index: number): number {
  return index === 0 ? -1 : bytes.lastIndexOf(byte, index - 1)
}

/** Whether a byte ends a line, alone or as a part of a carriage return and a line feed. */
function isLineEnd (byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN
}

function lastIdOf (events: Buffer): string | undefined {
  const text = events.toString('latin1')
  const start = Math.max(text.lastIndexOf('\nid:'), text.lastIndexOf('\rid:'))
  return ID_LINE.exec(start >= 0 ? text.slice(start + 1) : text)?.[1]?.trim()
}
