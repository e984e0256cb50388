/** Splits a byte stream into complete server-sent events, so that no part of an incomplete event is forwarded. */

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const COMMENT_START = ':'
const LINE_END = /\r\n|\n|\r/
const LAST_LINE_END = /[\r\n]$/
const ID_LINE = /^id: ?(.*)$/m

/** Complete events, and the id of the last one. */
export interface CompleteEvents {
  bytes: Buffer
  lastId: string | undefined
}

export class EventSplitter {
  private incomplete: Buffer = Buffer.alloc(0)

  /** Adds bytes and returns the events that are now complete; undefined if none is. */
  push (chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.incomplete.length === 0 ? chunk : Buffer.concat([this.incomplete, chunk])
    const end = endOfLastEvent(bytes)
    this.incomplete = bytes.subarray(end)
    if (end === 0) return undefined
    const complete = bytes.subarray(0, end)
    return { bytes: complete, lastId: lastIdOf(complete) }
  }

  /** Returns the bytes behind the last complete event. They are forwarded only if the stream has ended normally. */
  remainder (): Buffer {
    return this.incomplete
  }

  /** Whether the stream has stopped inside an event or a line. Blank lines and comments behind an event begin no other. */
  get isInsideEvent (): boolean {
    return this.incomplete.length > 0 && (!LAST_LINE_END.test(this.incomplete.toString('latin1')) || hasField(this.incomplete))
  }
}

/** Whether bytes contain a field of an event. Blank lines and comments belong to none. */
export function hasField (bytes: Buffer): boolean {
  return bytes.toString('latin1').split(LINE_END).some((line) => line !== '' && !line.startsWith(COMMENT_START))
}

/** Returns the offset behind the last blank line, in which an event ends; 0 if there is none. */
function endOfLastEvent (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (!isLineEnd(bytes[index])) continue
    const isPair = bytes[index] === LINE_FEED && bytes[index - 1] === CARRIAGE_RETURN
    if (isLineEnd(bytes[isPair ? index - 2 : index - 1])) return index + 1
  }
  return 0
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
