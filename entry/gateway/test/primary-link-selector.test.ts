import { describe, expect, it } from 'vitest'
import { Regions } from '@gullwall/config.settings'
import { type Link } from '@gullwall/transport.link'
import { PrimaryLinkSelector } from '../src/primary-link-selector.ts'

function linkTo (dataCentre: string): Link {
  return { peer: { dataCentre } } as unknown as Link
}

describe('the control process with which an entry exchanges load', () => {
  const [far, near, farther] = ['dc2', 'dc1', 'dc3'].map(linkTo) as [Link, Link, Link]
  const links = [far, near, farther]

  it('is one in its data centre, or else any', () => {
    const selector = new PrimaryLinkSelector('dc1')
    expect(selector.select(links, 3, 0)).toBe(near)
    expect(selector.select([far, farther], 3, 0)).toBe(far)
    expect(selector.select([], 3, 0)).toBeUndefined()
  })

  it('is one in its region if its data centre has none', () => {
    const selector = new PrimaryLinkSelector('dc4', new Regions({ dc1: 'south', dc2: 'south', dc3: 'north', dc4: 'north' }))
    expect(selector.select(links, 3, 0)).toBe(farther)
    expect(selector.select([far, near], 3, 0)).toBe(far)
    expect(selector.sortByDistance(links)).toEqual([farther, far, near])
  })

  it('is another one while the nearest is known to be disconnected from most of its peers', () => {
    const selector = new PrimaryLinkSelector('dc1')
    selector.recordPeers(near, 0, 1000)
    expect(selector.select(links, 3, 1100)).toBe(far)
    selector.recordPeers(far, 0, 1200)
    expect(selector.select(links, 3, 1300)).toBe(farther)
    selector.recordPeers(farther, 0, 1400)
    expect(selector.select(links, 3, 1500)).toBe(near)
    expect(selector.select(links, 3, 10_000)).toBe(near)
  })

  it('stays the same if a minority of peers is missing, or if there is no other', () => {
    const selector = new PrimaryLinkSelector('dc1')
    selector.recordPeers(near, 2, 0)
    expect(selector.select(links, 5, 100)).toBe(near)
    selector.recordPeers(near, 0, 0)
    expect(selector.select(links, 1, 100)).toBe(near)
  })
})
