import { describe, expect, it } from 'vitest'
import { type Link } from '@gullwall/transport.link'
import { Proximity, type PublishPriority } from '../src/proximity.ts'

/** Six data centres in two regions; the control processes stand in five of them, 3 and 2. */
const REGIONS = { n1: 'north', n2: 'north', n3: 'north', s1: 'south', s2: 'south', s3: 'south' }
const CONTROLS = ['n1', 'n2', 'n3', 's1', 's2']

function linkTo (name: string, dataCentre: string): Link {
  return { peer: { name, dataCentre } } as unknown as Link
}

function nearnessOf (dataCentre: string, linked = CONTROLS, regions: Record<string, string> | undefined = REGIONS): Proximity {
  const peers = linked.filter((other) => other !== dataCentre).map((other) => linkTo(`c-${other}`, other))
  return new Proximity({ settings: { dataCentre, member: `c-${dataCentre}`, regions }, peers: { links: () => peers } })
}

/** When each control process tells an entry. */
function turnsFor (name: string, dataCentre: string): Record<string, PublishPriority> {
  return Object.fromEntries(CONTROLS.map((control) => [control, nearnessOf(control).getPublishPriority(linkTo(name, dataCentre))]))
}

describe('who tells an entry', () => {
  it('is the control process of its data centre, then those of its region, and those of the other last', () => {
    expect(turnsFor('e-1', 'n2')).toEqual({ n1: 'second', n2: 'first', n3: 'second', s1: 'last', s2: 'last' })
  })

  it('is one of its region where its data centre has none; entries are spread among these', () => {
    const firsts = new Set<string>()
    for (let index = 0; index < 20; index += 1) {
      const { s1, s2, ...north } = turnsFor(`e-${index}`, 's3')
      expect([s1, s2].sort()).toEqual(['first', 'second'])
      expect(new Set(Object.values(north))).toEqual(new Set(['last']))
      firsts.add(s1 === 'first' ? 's1' : 's2')
    }
    expect(firsts.size).toBe(2)
  })

  it('is the other one of its region once the first is linked no more, and any where its region has none', () => {
    for (let index = 0; index < 20; index += 1) {
      expect(nearnessOf('s2', ['n1', 'n2', 'n3', 's2']).getPublishPriority(linkTo(`e-${index}`, 's3'))).toBe('first')
    }
    expect(nearnessOf('n1', ['n1', 'n2', 'n3']).getPublishPriority(linkTo('e-1', 's3'))).toBe('second')
  })

  it('is as ever in a deployment of one region: first in the data centre, then all others', () => {
    for (const regions of [undefined, { n1: 'north', n2: 'north' }]) {
      expect(nearnessOf('n1', ['n1', 'n2'], regions).getPublishPriority(linkTo('e-1', 'n1'))).toBe('first')
      expect(nearnessOf('n1', ['n1', 'n2'], regions).getPublishPriority(linkTo('e-1', 'n2'))).toBe('second')
    }
  })
})
