/** Reads the JSON body of an operator's request. */
import { type IncomingMessage } from 'node:http'
import { decodeJson } from '@gullwall/config.document'
import { formatMistakes } from '@gullwall/config.checker'
import { GullwallError } from '@gullwall/core.error'

const MAX_BYTES = 16 * 1024 * 1024

/** @throws ERR_GULLWALL_BODY if the body is too large or not JSON */
export async function readBody (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAX_BYTES) throw new GullwallError('ERR_GULLWALL_BODY', `the body may have at most ${MAX_BYTES} bytes`, { step: 'read body' })
    chunks.push(chunk)
  }
  const text = decodeJson(Buffer.concat(chunks)).mapLeft(formatMistakes)
  if (text.isLeft()) throw new GullwallError('ERR_GULLWALL_BODY', String(text.extract()), { step: 'read body' })
  try {
    return JSON.parse(text.unsafeCoerce())
  } catch (cause) {
    throw new GullwallError('ERR_GULLWALL_BODY', 'the body is not JSON', { step: 'read body', cause })
  }
}
