import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { EventRelay } from '@gullwall/endpoint.openai'

const SEED = Number(process.env['FUZZ_SEED'] ?? 74)
console.log(`events: FUZZ_SEED=${SEED}`)
const CHUNK_BYTES = 16_384

describe('the events of a stream', () => {
  it('are the same however they are cut into chunks', () => {
    const event = fc.string({ minLength: 1, maxLength: 20, unit: fc.constantFrom('a', 'b', '\n') }).map((text) => `data: ${text}\n\n`)
    fc.assert(fc.property(fc.array(event), fc.array(fc.nat(200)), (events, cuts) => {
      const bytes = Buffer.from(`${events.join('')}data: [DONE]\n\n`)
      const relay = new EventRelay()
      const places = [0, ...cuts.map((cut) => cut % bytes.length).sort((a, b) => a - b), bytes.length]
      const forwarded = places.slice(1).map((place, index) => relay.push(bytes.subarray(places[index], place)) ?? Buffer.alloc(0))
      expect(Buffer.concat(forwarded).toString()).toBe(bytes.toString())
      expect(relay.isDone).toBe(true)
    }), { seed: SEED })
  })

  // Each chunk of such an event was joined to all before it and searched anew, which held the whole process up.
  it('include large ones, and end with one that has no end', () => {
    const relay = new EventRelay()
    const chunk = Buffer.alloc(CHUNK_BYTES, 'a')
    for (let bytes = 0; bytes < 3 * 1024 * 1024; bytes += chunk.length) expect(relay.push(chunk)).toBeUndefined()
    expect(relay.push(Buffer.from('\n\n'))?.length).toBe(3 * 1024 * 1024 + 2)
    expect(() => { for (;;) relay.push(chunk) }).toThrow('over 4194304 bytes')
  })
})
