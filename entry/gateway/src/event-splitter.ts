/** Cuts a stream of bytes into whole events, so that nothing is passed on of an event that breaks off. */

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_LINE = /^id: ?(.*)$/m

/** Whole events that have arrived, and the id of the last of them. */
export interface CompleteEvents {
  bytes: Buffer
  lastId: string | undefined
}

export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Takes bytes and gives the whole events among all that has arrived; none if there is none. */
  push (chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
    const end = endOfLastEvent(bytes)
    this.rest = bytes.subarray(end)
    if (end === 0) return undefined
    const whole = bytes.subarray(0, end)
    return { bytes: whole, lastId: lastIdOf(whole) }
  }

  /** What follows the last whole event, where the stream has ended as it should. */
  remainder (): Buffer {
    return this.rest
  }
}

/** The offset behind the last empty line. */
function endOfLastEvent (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1
  }
  return 0
}

function lastIdOf (events: Buffer): string | undefined {
  const text = events.toString('latin1')
  const start = text.lastIndexOf('\nid:')
  return ID_LINE.exec(start >= 0 ? text.slice(start + 1) : text)?.[1]?.trim()
}
