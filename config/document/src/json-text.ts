/** The text of a JSON body. What is accepted is stored and given back, so that nothing of it may be replaced on the way. */
import { isUtf8 } from 'node:buffer'
import { Either, Left, Right } from 'purify-ts'
import { type Mistake } from '@gullwall/config.checker'

const BYTE_ORDER_MARK = '\ufeff'
const SURROGATE_ESCAPE = /\\u[dD][89a-fA-F]/

/**
 * Gives the text of a body. Bytes that are not UTF-8 and a byte order mark are mistakes, and so are strings with half a surrogate pair,
 * which can't be sent to other processes.
 */
export function decodeJson (body: Buffer | string): Either<Mistake[], string> {
  if (typeof body !== 'string' && !isUtf8(body)) return mistake('bytes that are not UTF-8', 'JSON in UTF-8')
  const text = body.toString()
  if (text.startsWith(BYTE_ORDER_MARK)) return mistake('a byte order mark', 'JSON that begins with its value')
  return hasHalfPair(text) ? mistake('half a surrogate pair in a string', 'strings of whole characters') : Right(text)
}

/** Whether a string of a JSON text has half a pair. A text that is no JSON has none: it is refused where it is parsed. */
function hasHalfPair (text: string): boolean {
  if (!SURROGATE_ESCAPE.test(text)) return !text.isWellFormed()
  let isFound = false
  const note = (string: unknown): void => { isFound ||= typeof string === 'string' && !string.isWellFormed() }
  Either.encase(() => JSON.parse(text, (key, value: unknown) => {
    note(key)
    note(value)
    return value
  }))
  return isFound
}

function mistake (found: string, allowed: string): Either<Mistake[], string> {
  return Left([{ file: 'document', keyPath: '', found, allowed }])
}
