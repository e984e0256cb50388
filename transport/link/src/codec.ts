/** Messages as bytes: msgpack, and deflate for long ones, since documents and leases repeat themselves. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Packr } from 'msgpackr'

/** Field names stand once in a message, however many objects of a shape it holds; plain maps are read as well. */
const packr = new Packr({ useRecords: true, mapsAsObjects: true })

/** Stands before a compressed message; no message of msgpack begins so. */
const COMPRESSED = 0xc1
const MIN_COMPRESSED_BYTES = 1024
const FASTEST = 1

/** Gives the bytes of a message. */
export function encode (value: unknown): Buffer {
  const data = packr.pack(value)
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
