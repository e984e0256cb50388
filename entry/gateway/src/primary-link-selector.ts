/**
 * Selects the control process with which an entry exchanges load summaries. A control process that is disconnected from its
 * peers knows the load of its own entries only, so these entries would all choose the same endpoints.
 */
import { Regions, type Distance } from '@gullwall/config.settings'
import { type Link } from '@gullwall/transport.link'

/** The number of peers that a control process reports expires after this time, in ms: the connection may have been restored. */
const VALID_MS = 3000
/** From the nearest to the farthest. */
const DISTANCES: readonly Distance[] = ['same data centre', 'same region', 'other region']

/** The number of peers whose load a control process receives. */
interface Coverage {
  peers: number
  reportedAt: number
}

export class PrimaryLinkSelector {
  private readonly coverage = new Map<Link, Coverage>()

  constructor (private readonly dataCentre: string, private readonly regions = new Regions()) {}

  /** Records from how many of its peers a control process receives load summaries. */
  recordPeers (link: Link, peers: number, now: number): void {
    this.coverage.set(link, { peers, reportedAt: now })
  }

  forget (link: Link): void {
    this.coverage.delete(link)
  }

  /** Selects the nearest link, by preference to a control process that is not known to be disconnected from most of its peers. */
  select (links: readonly Link[], controls: number, now: number): Link | undefined {
    const connected = links.filter((link) => !this.isDisconnected(link, controls, now))
    const candidates = connected.length > 0 ? connected : links
    return this.sortByDistance(candidates)[0]
  }

  /** Sorts links by distance; links at equal distance keep their order. */
  sortByDistance (links: readonly Link[]): Link[] {
    const distanceRank = ({ peer }: Link) => DISTANCES.indexOf(this.regions.distance(this.dataCentre, peer.dataCentre))
    return [...links].sort((left, right) => distanceRank(left) - distanceRank(right))
  }

  /** Whether a control process is known to reach at most half of all control processes, itself included. */
  private isDisconnected (link: Link, controls: number, now: number): boolean {
    const known = this.coverage.get(link)
    if (known === undefined || now - known.reportedAt > VALID_MS) return false
    return known.peers + 1 <= controls / 2
  }
}
