import { beforeEach, describe, expect, it } from 'vitest'
import { findSharedParts, HeldParts, nameOfHold, nameOfPart, type HeldPart } from '../src/index.ts'

const PART = nameOfPart('app', 'a')
const HELD: HeldPart = { part: PART, crashes: 5, failedProbes: 0 }

describe('the parts of a prompt that may be quarantined', () => {
  it.each<[string, string[], string[]]>([
    ['are all but the last, which is the own one of the request', ['a', 'b', 'c'], ['a', 'b']],
    ['are none of a prompt of one part, also if it is named twice', ['a', 'a'], []],
    ['are named once each, without spaces', ['a', ' a ', 'b', ' c'], ['a', 'b']],
    ['are not the last one, wherever else it stands', ['a', 'b', 'a'], ['b']],
    ['are none if there are no ids', ['', ''], []]
  ])('%s', (_name, ids, expected) => {
    expect(findSharedParts(ids)).toEqual(expected)
  })

  it('have names of a bounded length without separators', () => {
    const [long, separated] = findSharedParts(['x'.repeat(1000), 'a/b,c', 'own'])
    expect(long).toMatch(/^[0-9a-f]{32}$/)
    expect(separated).toMatch(/^[0-9a-f]{32}$/)
    expect(nameOfPart('a service/x', 'id')).toBe('a%20service%2Fx/id')
  })
})

describe('quarantined parts', () => {
  let now: number
  let held: HeldParts
  const request = { parts: ['a', 'b'], organisation: 'north' }

  beforeEach(() => {
    now = 1000
    held = new HeldParts('b1', () => now)
  })

  const hold = (...parts: HeldPart[]) => held.replace(new Map(parts.map((part) => [nameOfHold(part), part])))

  it('keep requests from the endpoints of their service, and no others', () => {
    hold(HELD)
    expect(held.find({}, request, 'app')).toEqual(HELD)
    expect(held.find({}, request, 'other')).toBeUndefined()
    expect(held.find({}, { ...request, parts: ['b'] }, 'app')).toBeUndefined()
  })

  it('of one organisation keep only its requests', () => {
    hold({ ...HELD, organisation: 'north' })
    expect(held.find({}, request, 'app')).toBeDefined()
    expect(held.find({}, { ...request, organisation: 'south' }, 'app')).toBeUndefined()
  })

  it('let one request through for a probe at the named box, until an endpoint has run it', () => {
    hold({ ...HELD, probe: { box: 'b1', number: 1 } })
    const first = {}
    expect(held.find(first, request, 'app')).toBeUndefined()
    expect(held.find({}, request, 'app')).toBeDefined()
    expect(held.find(first, request, 'app')).toBeUndefined()
    held.recordRun(first)
    expect(held.find(first, request, 'app')).toBeDefined()
    hold({ ...HELD, probe: { box: 'b2', number: 2 } })
    expect(held.find({}, request, 'app')).toBeDefined()
    hold({ ...HELD, probe: { box: 'b1', number: 3 } })
    expect(held.find({}, request, 'app')).toBeUndefined()
  })

  it('are released by runs that began to write after the quarantine began', () => {
    hold(HELD)
    expect(held.findReleasable([PART, 'app/b'], 'north', now - 1)).toEqual([])
    expect(held.findReleasable([PART, 'app/b'], 'north', now)).toEqual([PART])
    now += 10
    hold({ ...HELD, failedProbes: 1 })
    expect(held.findReleasable([PART], 'north', 1005)).toEqual([PART])
    hold()
    expect(held.size).toBe(0)
  })
})
