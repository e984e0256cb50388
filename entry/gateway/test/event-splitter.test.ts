import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EventSplitter } from '@gullwall/entry.gateway'

const SEED = Number(process.env['FUZZ_SEED'] ?? 11)

describe('complete events', () => {
  it(`are the same for any division of the bytes into chunks (seed ${SEED})`, () => {
    const body = Buffer.from(Array.from({ length: 9 }, (_, id) => `id: ${id + 1}\ndata: ${'x'.repeat(id * 3)}\n\n`).join(''))
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (sizes) => {
      const splitter = new EventSplitter()
      const received: Buffer[] = []
      let lastId: string | undefined
      for (let offset = 0, turn = 0; offset < body.length; turn++) {
        const size = sizes[turn % sizes.length] ?? 1
        const events = splitter.push(body.subarray(offset, offset + size))
        offset += size
        if (events === undefined) continue
        expect(events.bytes.subarray(-2).toString()).toBe('\n\n')
        received.push(events.bytes)
        lastId = events.lastId
      }
      expect(Buffer.concat(received).equals(body)).toBe(true)
      expect(lastId).toBe('9')
      expect(splitter.remainder()).toHaveLength(0)
    }), { seed: SEED, numRuns: 200 })
  })

  it('exclude an event that is incomplete', () => {
    const splitter = new EventSplitter()
    expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))?.lastId).toBe('1')
    expect(splitter.push(Buffer.from('ta: b\n'))).toBeUndefined()
    expect(splitter.remainder().toString()).toBe('id: 2\ndata: b\n')
  })

  it('are found if lines end with a carriage return and a line feed', () => {
    expect(new EventSplitter().push(Buffer.from('id: 4\r\ndata: a\r\n\r\n'))?.lastId).toBe('4')
  })

  it(`are found with any line end and any division into chunks, and nothing is left that is part of an event (seed ${SEED})`, () => {
    const lineEnd = fc.constantFrom('\n', '\r\n', '\r')
    const event = fc.tuple(fc.integer({ min: 1, max: 99 }), lineEnd).map(([id, end]) => `id: ${id}${end}data: x${end}${end}`)
    const body = fc.array(event, { minLength: 1, maxLength: 6 }).map((parts) => parts.join(''))
    fc.assert(fc.property(body, fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), fc.nat(), (text, sizes, cut) => {
      const bytes = Buffer.from(text)
      const isWhole = cut % 2 === 0
      const end = isWhole ? bytes.length : cut % bytes.length
      const splitter = new EventSplitter()
      const received: Buffer[] = []
      for (let offset = 0, turn = 0; offset < end; turn++) {
        const next = Math.min(end, offset + (sizes[turn % sizes.length] ?? 1))
        const events = splitter.push(bytes.subarray(offset, next))
        if (events !== undefined) received.push(events.bytes)
        offset = next
      }
      const all = Buffer.concat([...received, splitter.remainder()]).toString()
      expect(all).toBe(text.slice(0, end))
      if (isWhole) expect(splitter.isInsideEvent).toBe(false)
      if (!isWhole && /[a-z0-9]$/.test(all)) expect(splitter.isInsideEvent).toBe(true)
    }), { seed: SEED, numRuns: 500 })
  })

  it(`are the same for any division into chunks, whatever the bytes are (seed ${SEED})`, () => {
    const body = fc.array(fc.constantFrom('\r', '\n', '\r\n', 'id: 7', 'data', ':', 'x'), { maxLength: 30 }).map((parts) => Buffer.from(parts.join('')))
    fc.assert(fc.property(body, fc.array(fc.integer({ min: 1, max: 7 }), { minLength: 1 }), (bytes, sizes) => {
      const splitter = new EventSplitter()
      const received: Buffer[] = []
      for (let offset = 0, turn = 0; offset < bytes.length; turn++) {
        const size = sizes[turn % sizes.length] ?? 1
        const events = splitter.push(bytes.subarray(offset, offset + size))
        if (events !== undefined) received.push(events.bytes)
        offset += size
        const rest = splitter.remainder()
        expect(splitter.incompleteBytes).toBe(rest.length)
        // No event is kept back: the rest has no blank line, but for one that began with a line end of the event before it.
        expect(/[^\r\n](\r\n[\r\n]|\r\r|\n[\r\n])/.test(rest.toString())).toBe(false)
      }
      expect(Buffer.concat([...received, splitter.remainder()]).equals(bytes)).toBe(true)
    }), { seed: SEED, numRuns: 1000 })
  })

  it('take time in proportion to their size, also if an event comes in many chunks', () => {
    const splitter = new EventSplitter()
    const chunk = Buffer.from('x')
    const count = 1_000_000
    for (let sent = 0; sent < count; sent++) splitter.push(chunk)
    expect(splitter.push(Buffer.from('\n\n'))?.bytes).toHaveLength(count + 2)
  })
})
