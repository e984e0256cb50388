import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { Packr } from 'msgpackr'
import { decode, encode } from '../src/codec.ts'

const MAX_BYTES = 1_000_000

describe('messages as bytes', () => {
  it('come back as they were, short and long', () => {
    const item = fc.record({ id: fc.string(), count: fc.nat() })
    const value = fc.record({ kind: fc.string(), text: fc.string({ maxLength: 5000 }), list: fc.array(item) })
    fc.assert(fc.property(value, (message) => {
      expect(decode(encode(message), MAX_BYTES)).toEqual(message)
    }), { seed: 7 })
  })

  it('keep a byte order mark at the beginning of a string of any length', () => {
    for (const length of [1, 30, 63, 64, 65, 100, 5000, 70_000]) {
      for (const text of ['\ufeff'.repeat(length), `\ufeff${'a'.repeat(length)}`, `\ufeff\ufeff${'漢'.repeat(length)}`]) {
        const message = { kind: 'revisions', names: [text, 'plain'], byName: { [text]: { nested: text } }, data: Buffer.from(text) }
        expect(decode(encode(message), MAX_BYTES)).toEqual(message)
      }
    }
  })

  it('are shorter where they repeat themselves', () => {
    const routes = Array.from({ length: 200 }, (_, index) => ({ name: `route-${index}`, host: 'parts.example', timeoutMs: 4000, kind: 'stream' }))
    const text = JSON.stringify(routes)
    expect(encode({ text }).length).toBeLessThan(text.length / 4)
  })

  it('are read as plain maps too', () => {
    expect(decode(new Packr({ useRecords: false }).pack({ kind: 'heartbeat', revision: 3 }), MAX_BYTES)).toEqual({ kind: 'heartbeat', revision: 3 })
  })

  it('are refused where they are no message, or longer than allowed once decompressed', () => {
    const long = encode({ text: 'a'.repeat(100_000) })
    expect(long.length).toBeLessThan(2000)
    expect(() => decode(long, 10_000)).toThrow()
    expect(() => decode(Buffer.from([0xc1, 1, 2, 3]), MAX_BYTES)).toThrow()
  })
})
