import { describe, expect, it } from 'vitest'
import { AMBIGUOUS, bindTo, BindingTable, chooseHolders, isSameBuild, ServiceBuilds, streamKeyOf } from '@gullwall/routing.stream-builds'

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

describe('the only build of a service', () => {
  const endpoint = (incarnation: string, build?: string, service = 'app') => ({ service, incarnation, build })

  it('is known once it has been the only one for long enough, and not for a while after another one', () => {
    const builds = new ServiceBuilds()
    builds.update([endpoint('a', 'v1')], 0)
    expect(builds.findOnly('app', 1000, 999)).toBeUndefined()
    builds.update([endpoint('a', 'v1'), endpoint('b', 'v1')], 900)
    expect(builds.findOnly('app', 1000, 1000)?.build).toBe('v1')
    builds.update([endpoint('a', 'v1'), endpoint('c', 'v2')], 1100)
    builds.update([endpoint('a', 'v1')], 1200)
    expect(builds.findOnly('app', 1000, 2199)).toBeUndefined()
    expect(builds.findOnly('app', 1000, 2200)?.build).toBe('v1')
  })

  it('is not known if an endpoint names none, or starts again as another build', () => {
    const builds = new ServiceBuilds()
    builds.update([endpoint('a', 'v1'), endpoint('b'), endpoint('x', 'v1', 'other')], 0)
    expect(builds.findOnly('app', 0, 5000)).toBeUndefined()
    expect(builds.findOnly('other', 1000, 5000)?.build).toBe('v1')
    builds.recordChanged([endpoint('x', 'v2', 'other')], 5000)
    builds.update([endpoint('x', 'v2', 'other')], 5000)
    expect(builds.findOnly('other', 1000, 5999)).toBeUndefined()
    expect(builds.findOnly('nobody', 0, 5999)).toBeUndefined()
  })

  it('is not known as long as the longest-waiting caller of the service can take up a stream of the build before', () => {
    const builds = new ServiceBuilds()
    builds.update([endpoint('a', 'v1'), endpoint('x', 'v1', 'other')], 0)
    builds.recordStream('app', 21_000)
    builds.recordStream('app', 5000)
    builds.update([endpoint('b', 'v2'), endpoint('x', 'v1', 'other')], 2600)
    expect(builds.findOnly('app', 13_000, 16_000)).toBeUndefined()
    expect(builds.findOnly('app', 13_000, 23_599)).toBeUndefined()
    expect(builds.findOnly('app', 13_000, 23_600)?.build).toBe('v2')
    expect(builds.findOnly('other', 13_000, 13_000)?.build).toBe('v1')
  })

  it('is not known for a while after another one that has gone before anybody asked', () => {
    const builds = new ServiceBuilds()
    builds.update([endpoint('a', 'v1')], 0)
    builds.recordChanged([endpoint('b', 'v2')], 5000)
    builds.update([endpoint('a', 'v1')], 5500)
    expect(builds.findOnly('app', 1000, 6499)).toBeUndefined()
    expect(builds.findOnly('app', 1000, 6500)?.build).toBe('v1')
  })
})
