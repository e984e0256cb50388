/** Messages as bytes: msgpack, and deflate for long ones, since documents and leases repeat themselves. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Packr } from 'msgpackr'

/** Field names stand once in a message, however many objects of a shape it holds; plain maps are read as well. */
const packr = new Packr({ useRecords: true, mapsAsObjects: true })

/** Stands before a compressed message; no message of msgpack begins so. */
const COMPRESSED = 0xc1
const MIN_COMPRESSED_BYTES = 1024
const FASTEST = 1

/** U+FEFF in UTF-8. */
const BYTE_ORDER_MARK = Buffer.from('\ufeff')

/** Gives the bytes of a message. */
export function encode (value: unknown): Buffer {
  const packed = packr.pack(value)
  const data = packed.includes(BYTE_ORDER_MARK) ? packr.pack(keepByteOrderMarks(value)) : packed
  if (data.length < MIN_COMPRESSED_BYTES) return data
  const compressed = deflateRawSync(data, { level: FASTEST })
  return compressed.length + 1 < data.length ? Buffer.concat([Buffer.of(COMPRESSED), compressed]) : data
}

/**
 * Gives the message of bytes.
 * @param maxBytes the longest message that is taken, once decompressed
 * @throws if the bytes are no message
 */
export function decode (data: Buffer, maxBytes: number): unknown {
  if (data[0] !== COMPRESSED) return packr.unpack(data)
  return packr.unpack(inflateRawSync(data.subarray(1), { maxOutputLength: maxBytes }))
}

/** The decoder drops a byte order mark that begins a longer string, so that such a string gets another one, to be dropped instead. */
function keepByteOrderMarks (value: unknown): unknown {
  if (typeof value === 'string') return losesFirstCharacter(value) ? `\ufeff${value}` : value
  if (Array.isArray(value)) return value.map(keepByteOrderMarks)
  if (typeof value !== 'object' || value === null || value instanceof Uint8Array) return value
  return Object.fromEntries(Object.entries(value).map(([key, held]) => [keepByteOrderMarks(key), keepByteOrderMarks(held)]))
}

function losesFirstCharacter (text: string): boolean {
  return text.startsWith('\ufeff') && packr.unpack(packr.pack(text)) !== text
}
