import { describe, expect, it } from 'vitest'
import { AMBIGUOUS, bindTo, BindingTable, chooseHolders, isSameBuild, streamKeyOf } from '@gullwall/routing.stream-builds'

const v1 = { service: 'app', incarnation: 'i-1', build: 'v1' }
const unknown = { service: 'app', incarnation: 'i-2' }

describe('an unknown build', () => {
  it('equals only the incarnation that it was seen at', () => {
    expect(isSameBuild(bindTo(unknown), { service: 'app', incarnation: 'i-3' })).toBe(false)
    expect(isSameBuild(bindTo(unknown), v1)).toBe(false)
    expect(isSameBuild(bindTo(v1), unknown)).toBe(false)
    expect(isSameBuild(bindTo(unknown), unknown)).toBe(true)
  })

  it('that becomes known later is that of the same incarnation', () => {
    expect(isSameBuild(bindTo(unknown), { ...unknown, build: 'v2' })).toBe(true)
    expect(isSameBuild(bindTo(unknown), { ...v1, build: 'v2' })).toBe(false)
  })
})

describe('the same build of another service', () => {
  it('is another build', () => {
    expect(isSameBuild(bindTo(v1), { ...v1, service: 'other' })).toBe(false)
  })
})

describe('the table of bindings', () => {
  it('forgets a binding once its caller can no longer come back, and does not grow with those', () => {
    let now = 0
    const table = new BindingTable({ now: () => now })
    for (let count = 0; count < 10_000; count += 1) {
      table.record({ key: `s-${count}`, binding: bindTo(v1), validMs: 100 })
      now += 1
    }
    expect(table.find('s-9950')).toEqual(v1)
    expect(table.find('s-9000')).toBeUndefined()
    expect(table.size).toBeLessThan(400)
  })

  it('is bounded', () => {
    const table = new BindingTable({ maxRecords: 10, now: () => 0 })
    for (let count = 0; count < 50; count += 1) table.record({ key: `s-${count}`, binding: bindTo(v1), validMs: 100 })
    expect(table.size).toBe(10)
    expect(table.find('s-49')).toEqual(v1)
  })

  it('names no build for a name under which two builds began a stream', () => {
    const table = new BindingTable({ now: () => 0 })
    for (const build of ['v1', 'v2', 'v1']) table.record({ key: 'twice', binding: { ...v1, build }, validMs: 100 })
    expect(table.find('twice')).toBe(AMBIGUOUS)
  })
})

describe('the key of a stream', () => {
  it('differs for another organisation or route, so that nobody finds the stream of another caller', () => {
    const name = { organisation: 'workshop', route: 'draft', requestId: 'r-1' }
    const keys = [name, { ...name, organisation: 'other' }, { ...name, organisation: undefined }, { ...name, route: 'scan' }].map(streamKeyOf)
    expect(new Set(keys).size).toBe(4)
    expect(streamKeyOf({ ...name })).toBe(keys[0])
  })
})

describe('the holders of a gateway', () => {
  const candidate = (name: string, dataCentre: string, isLocalRegion = true) => ({ name, dataCentre, isLocalRegion })

  it('are two in different data centres of its region', () => {
    const holders = chooseHolders('g', [candidate('a', 'east'), candidate('b', 'east'), candidate('c', 'west'), candidate('d', 'south', false)])
    expect(holders).toHaveLength(2)
    expect(new Set(holders.map(({ dataCentre }) => dataCentre))).toEqual(new Set(['east', 'west']))
  })

  it('are in another region only if its own has too few', () => {
    expect(chooseHolders('g', [candidate('a', 'east'), candidate('d', 'south', false)]).map(({ name }) => name)).toEqual(['a', 'd'])
    expect(chooseHolders('g', [candidate('a', 'east'), candidate('b', 'east'), candidate('d', 'south', false)]).map(({ name }) => name)).not.toContain('d')
  })

  it('differ between gateways', () => {
    const controls = ['a', 'b', 'c', 'd', 'e'].map((name) => candidate(name, name))
    const chosen = Array.from({ length: 40 }, (_, index) => chooseHolders(`g-${index}`, controls)[0]?.name)
    expect(new Set(chosen).size).toBe(5)
  })
})
