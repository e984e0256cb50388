import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { silentLogger } from '@gullwall/core.logger'
import { selectLatestLimit, type AdvertisedLimit } from '@gullwall/routing.rates'
import { type Lease } from '@gullwall/transport.messages'
import { LeaseTable } from '../src/index.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 20_265)

const word = (
  perSecond: number | undefined, sentAt: number, heardAt: number
): AdvertisedLimit => ({ perSecond, sentAt, receivedAt: heardAt })

describe('of two words of a limit', () => {
  it('the one that was surely made later holds, be it raised, lowered or over', () => {
    expect(selectLatestLimit(word(1, 0, 10), word(5, 10, 20))?.perSecond).toBe(5)
    expect(selectLatestLimit(word(5, 10, 20), word(1, 0, 10))?.perSecond).toBe(5)
    expect(selectLatestLimit(word(1, 0, 10), word(undefined, 11, 20))?.perSecond).toBeUndefined()
  })

  it('the stricter one holds where their heads crossed, and only an answer to a later request ends it', () => {
    expect(selectLatestLimit(word(1, 0, 10), word(undefined, 5, 20))?.perSecond).toBe(1)
    expect(selectLatestLimit(word(undefined, 5, 20), word(1, 0, 10))?.perSecond).toBe(1)
    expect(selectLatestLimit(word(3, 0, 10), word(1, 5, 12))?.perSecond).toBe(1)
    const held = selectLatestLimit(word(1, 0, 10), word(undefined, 5, 20)) as AdvertisedLimit
    expect(selectLatestLimit(held, word(undefined, 12, 30))?.perSecond).toBeUndefined()
  })

  it('nothing is kept of one that names none where none was named', () => {
    expect(selectLatestLimit(undefined, word(undefined, 0, 10))).toBeUndefined()
  })
})

describe('the limit of a lease', () => {
  const lease = (incarnation: string, born: number, sequence = 1): Lease => ({
    incarnation, life: { name: 'i-a', born }, service: 'app', address: '10.0.0.1:80', dataCentre: 'dc1', slots: 4, state: 'ready', sequence, ageMs: 0
  })
  const tableAt = () => {
    const clock = { now: 1000 }
    const changed: Array<number | undefined> = []
    const table = new LeaseTable({ logger: silentLogger(), now: () => clock.now, onLimit: ({ limit }) => changed.push(limit?.perSecond) })
    return { clock, table, changed }
  }

  it('outlives heartbeats, is told on with its age, and ends with the life that named it', () => {
    const { clock, table, changed } = tableAt()
    table.merge([lease('a1', 1)])
    expect(table.recordLimit('a1', word(2, 990, 995))).toBe(true)
    table.merge([lease('a1', 1, 2)])
    clock.now = 1100
    const [told] = table.toWire()
    expect(told?.limit).toEqual({ perSecond: 2, sentAgoMs: 110, heardAgoMs: 105 })
    const other = tableAt()
    other.table.merge([lease('a1', 1, 2)])
    expect(other.table.merge([told as Lease])).toEqual(['changed'])
    expect(other.table.get('a1')?.limit?.perSecond).toBe(2)
    expect(other.table.merge([told as Lease])).toEqual(['stale'])
    table.merge([lease('a2', 2)])
    expect(table.get('a2')?.limit).toBeUndefined()
    expect(changed).toEqual([2])
  })

  it('is the same at all who hear the same words, in whatever order, once an answer came to a request that was sent after all of them', () => {
    const any = fc.record({ perSecond: fc.constantFrom(undefined, 0, 1, 5), sentAt: fc.nat(100), tookMs: fc.nat(30) })
    const words = fc.array(any, { minLength: 1, maxLength: 8 })
    fc.assert(fc.property(words, fc.constantFrom(undefined, 1, 7), fc.infiniteStream(fc.nat(7)), (given, last, draws) => {
      const held = given.map(({ perSecond, sentAt, tookMs }) => word(perSecond, sentAt, sentAt + tookMs))
      const ranked = held.map((item) => ({ item, rank: draws.next().value as number }))
      const shuffled = ranked.sort((left, right) => left.rank - right.rank).map(({ item }) => item)
      const settled = [held, shuffled].map((order) => {
        const { table } = tableAt()
        table.merge([lease('a1', 1)])
        for (const item of [...order, word(last, 200, 210)]) table.recordLimit('a1', item)
        return table.get('a1')?.limit?.perSecond
      })
      expect(settled).toEqual([last, last])
    }), { seed: SEED })
  })
})
