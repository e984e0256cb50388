import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { endOfWindow, UsageCounter, UsageTable, windowAt } from '../src/index.ts'

describe('windows', () => {
  it('begin at whole multiples of their length', () => {
    expect(windowAt(10_000, 5000)).toBe(2)
    expect(windowAt(9999, 5000)).toBe(1)
    expect(endOfWindow(1, 5000)).toBe(10_000)
  })
})

describe('what an entry counts', () => {
  it('is told as totals of the window, and only what has changed', () => {
    const counter = new UsageCounter()
    counter.note(7, 'a')
    counter.note(7, 'b')
    expect(counter.takeUntold()).toEqual([{ window: 7, counts: [{ organisation: 'a', begun: 1 }, { organisation: 'b', begun: 1 }] }])
    counter.note(7, 'a')
    expect(counter.takeUntold()).toEqual([{ window: 7, counts: [{ organisation: 'a', begun: 2 }] }])
    expect(counter.takeUntold()).toEqual([])
    expect(counter.takeAll()).toEqual([{ window: 7, counts: [{ organisation: 'a', begun: 2 }, { organisation: 'b', begun: 1 }] }])
  })

  it('is kept for a bounded number of windows', () => {
    const counter = new UsageCounter()
    for (let window = 0; window < 100; window += 1) counter.note(window, 'a')
    expect(counter.takeAll().map(({ window }) => window)).toEqual([95, 96, 97, 98, 99])
  })
})

describe('what control keeps', () => {
  const words = fc.array(fc.record({ source: fc.constantFrom('s1', 's2', 's3'), begun: fc.integer({ min: 0, max: 50 }) }), { maxLength: 20 })

  it('is the same whatever the order and the repeats of the words', () => {
    fc.assert(fc.property(words, fc.integer(), (told, seed) => {
      const straight = new UsageTable()
      for (const { source, begun } of told) straight.merge(source, [{ window: 3, counts: [{ organisation: 'a', begun }] }])
      const shuffled = new UsageTable()
      const order = [...told, ...told].map((word, index) => ({ word, rank: (index * 7919 + seed) % 31 }))
      order.sort((left, right) => left.rank - right.rank)
      for (const { word: { source, begun } } of order) shuffled.merge(source, [{ window: 3, counts: [{ organisation: 'a', begun }] }])
      expect(shuffled.totalOf(3)).toEqual(straight.totalOf(3))
    }))
  })

  it('adds up the sources of one window, and forgets old windows', () => {
    const table = new UsageTable()
    table.merge('s1', [{ window: 3, counts: [{ organisation: 'b', begun: 2 }, { organisation: 'a', begun: 1 }] }])
    table.merge('s2', [{ window: 3, counts: [{ organisation: 'b', begun: 4 }] }])
    expect(table.totalOf(3)).toEqual([{ organisation: 'a', begun: 1 }, { organisation: 'b', begun: 6 }])
    table.merge('s2', [{ window: 30, counts: [] }])
    expect(table.totalOf(3)).toEqual([])
  })
})
