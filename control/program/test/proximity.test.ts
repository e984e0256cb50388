import { describe, expect, it } from 'vitest'
import { type Link } from '@gullwall/transport.link'
import { Proximity, type PublishPriority } from '../src/proximity.ts'

/** Six data centres in two regions. Five of them have a control process: three in the north and two in the south. */
const REGIONS = { n1: 'north', n2: 'north', n3: 'north', s1: 'south', s2: 'south', s3: 'south' }
const CONTROLS = ['n1', 'n2', 'n3', 's1', 's2']

function linkTo (name: string, dataCentre: string): Link {
  return { peer: { name, dataCentre } } as unknown as Link
}

function createNearness (dataCentre: string, linked = CONTROLS, regions: Record<string, string> | undefined = REGIONS): Proximity {
  const peers = linked.filter((other) => other !== dataCentre).map((other) => linkTo(`c-${other}`, other))
  return new Proximity({ settings: { dataCentre, member: `c-${dataCentre}`, regions }, peers: { links: () => peers } })
}

/** Returns the turn of each control process for an entry. */
function turnsFor (name: string, dataCentre: string): Record<string, PublishPriority> {
  return Object.fromEntries(CONTROLS.map((control) => [control, createNearness(control).getPublishPriority(linkTo(name, dataCentre))]))
}

describe('Proximity', () => {
  it('puts the control process of the data centre first, those of the region second, and those of the other region last', () => {
    expect(turnsFor('e-1', 'n2')).toEqual({ n1: 'second', n2: 'first', n3: 'second', s1: 'last', s2: 'last' })
  })

  it('distributes entries over the control processes of their region if their data centre has none', () => {
    const firstProcesses = new Set<string>()
    for (let index = 0; index < 20; index += 1) {
      const { s1, s2, ...north } = turnsFor(`e-${index}`, 's3')
      expect([s1, s2].sort()).toEqual(['first', 'second'])
      expect(new Set(Object.values(north))).toEqual(new Set(['last']))
      firstProcesses.add(s1 === 'first' ? 's1' : 's2')
    }
    expect(firstProcesses.size).toBe(2)
  })

  it('moves to the other control process of the region if the first is not linked, and to any process if the region has none', () => {
    for (let index = 0; index < 20; index += 1) {
      expect(createNearness('s2', ['n1', 'n2', 'n3', 's2']).getPublishPriority(linkTo(`e-${index}`, 's3'))).toBe('first')
    }
    expect(createNearness('n1', ['n1', 'n2', 'n3']).getPublishPriority(linkTo('e-1', 's3'))).toBe('second')
  })

  it('puts the data centre first and all others second in a deployment of one region', () => {
    for (const regions of [undefined, { n1: 'north', n2: 'north' }]) {
      expect(createNearness('n1', ['n1', 'n2'], regions).getPublishPriority(linkTo('e-1', 'n1'))).toBe('first')
      expect(createNearness('n1', ['n1', 'n2'], regions).getPublishPriority(linkTo('e-1', 'n2'))).toBe('second')
    }
  })
})
