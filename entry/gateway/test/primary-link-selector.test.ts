import { describe, expect, it } from 'vitest'
import { Regions } from '@gullwall/config.settings'
import { type Link } from '@gullwall/transport.link'
import { PrimaryLinkSelector } from '../src/primary-link-selector.ts'

function linkTo (dataCentre: string): Link {
  return { peer: { dataCentre } } as unknown as Link
}

describe('the control process that an entry listens to', () => {
  const [far, near, farther] = ['dc2', 'dc1', 'dc3'].map(linkTo) as [Link, Link, Link]
  const links = [far, near, farther]

  it('is one in its data centre, or any', () => {
    const choice = new PrimaryLinkSelector('dc1')
    expect(choice.select(links, 3, 0)).toBe(near)
    expect(choice.select([far, farther], 3, 0)).toBe(far)
    expect(choice.select([], 3, 0)).toBeUndefined()
  })

  it('is one in its region where its data centre has none', () => {
    const choice = new PrimaryLinkSelector('dc4', new Regions({ dc1: 'south', dc2: 'south', dc3: 'north', dc4: 'north' }))
    expect(choice.select(links, 3, 0)).toBe(farther)
    expect(choice.select([far, near], 3, 0)).toBe(far)
    expect(choice.sortByDistance(links)).toEqual([farther, far, near])
  })

  it('is another while that one is cut off from most of its peers, for as long as that is known', () => {
    const choice = new PrimaryLinkSelector('dc1')
    choice.recordPeers(near, 0, 1000)
    expect(choice.select(links, 3, 1100)).toBe(far)
    choice.recordPeers(far, 0, 1200)
    expect(choice.select(links, 3, 1300)).toBe(farther)
    choice.recordPeers(farther, 0, 1400)
    expect(choice.select(links, 3, 1500)).toBe(near)
    expect(choice.select(links, 3, 10_000)).toBe(near)
  })

  it('stays where a minority is missing, and where there are no others', () => {
    const choice = new PrimaryLinkSelector('dc1')
    choice.recordPeers(near, 2, 0)
    expect(choice.select(links, 5, 100)).toBe(near)
    choice.recordPeers(near, 0, 0)
    expect(choice.select(links, 1, 100)).toBe(near)
  })
})
