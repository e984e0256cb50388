/**
 * Which control process an entry tells its work and hears the others' from. One that is cut off from its peers knows only
 * the entries that tell it, so that all who hear from it would send to the same engines.
 */
import { Regions, type Distance } from '@gullwall/config.settings'
import { type Link } from '@gullwall/transport.link'

/** What a control process said of its peers counts for so long, in ms: the cut may have healed. */
const VALID_MS = 3000
/** From near to far. */
const DISTANCES: readonly Distance[] = ['same data centre', 'same region', 'other region']

interface Coverage {
  peers: number
  toldAt: number
}

export class PrimaryLinkSelector {
  private readonly coverage = new Map<Link, Coverage>()

  constructor (private readonly dataCentre: string, private readonly regions = new Regions()) {}

  /** Notes from how many of its peers a control process hears. */
  recordPeers (link: Link, peers: number, now: number): void {
    this.coverage.set(link, { peers, toldAt: now })
  }

  forget (link: Link): void {
    this.coverage.delete(link)
  }

  /** The link to one that is not known to be cut off from most of its peers; among those, one in this data centre, or in this region. */
  select (links: readonly Link[], controls: number, now: number): Link | undefined {
    const sound = links.filter((link) => !this.isCutOff(link, controls, now))
    const able = sound.length > 0 ? sound : links
    return this.sortByDistance(able)[0]
  }

  /** Links in the order of their distance; those of equal distance as they were. */
  sortByDistance (links: readonly Link[]): Link[] {
    const rankOf = ({ peer }: Link) => DISTANCES.indexOf(this.regions.distance(this.dataCentre, peer.dataCentre))
    return [...links].sort((left, right) => rankOf(left) - rankOf(right))
  }

  private isCutOff (link: Link, controls: number, now: number): boolean {
    const known = this.coverage.get(link)
    if (known === undefined || now - known.toldAt > VALID_MS) return false
    return known.peers + 1 <= controls / 2
  }
}
