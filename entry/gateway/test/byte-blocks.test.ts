/** Guards against blocks that are used again while a response still reads them, and against new memory for each response. */
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { ByteBlocks } from '../src/byte-blocks.ts'

const SEED = Number(process.env['BLOCKS_SEED'] ?? 1)
const CHUNK_BYTES = 16 * 1024
const EVENT_BYTES = 1024 * 1024

interface Response { blocks: ByteBlocks, expected: Buffer[] }

it(`the bytes of a response stay as they came, whatever others begin and end (seed ${SEED})`, () => {
  const step = fc.record({ response: fc.nat(3), bytes: fc.nat(40_000), isEnd: fc.boolean() })
  let value = 0
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const responses: Response[] = Array.from({ length: 4 }, () => ({ blocks: new ByteBlocks(), expected: [] }))
    const joined: Array<{ bytes: Buffer, copy: Buffer }> = []
    for (const { response: index, bytes, isEnd } of steps) {
      const { blocks, expected } = responses[index] as Response
      value = (value + 1) % 256
      const chunk = Buffer.alloc(bytes, value)
      blocks.push(chunk)
      expected.push(Buffer.from(chunk))
      // The connection reads its next bytes into the same memory.
      chunk.fill(0)
      expect(blocks.length).toBe(Buffer.concat(expected).length)
      if (!isEnd) continue
      const all = blocks.join()
      joined.push({ bytes: all, copy: Buffer.from(all) })
      expect(all.equals(Buffer.concat(expected))).toBe(true)
      blocks.clear()
      expected.length = 0
    }
    for (const { blocks, expected } of responses) expect(blocks.join().equals(Buffer.concat(expected))).toBe(true)
    for (const { bytes, copy } of joined) expect(bytes.equals(copy)).toBe(true)
    for (const { blocks } of responses) blocks.clear()
  }), { seed: SEED, numRuns: 300 })
})

it('large responses one after the other take the memory of one', () => {
  const chunk = Buffer.alloc(CHUNK_BYTES, 'x')
  const receiveEvent = (): void => {
    const blocks = new ByteBlocks()
    for (let bytes = 0; bytes < EVENT_BYTES; bytes += CHUNK_BYTES) blocks.push(chunk)
    blocks.clear()
  }
  receiveEvent()
  const before = process.memoryUsage().arrayBuffers
  for (let count = 0; count < 10; count++) receiveEvent()
  expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(EVENT_BYTES)
})
