/**
 * Decides when a control process publishes a change to an entry. Each entry is linked to every control process. The processes close
 * to it publish first, so that a change usually crosses between data centres, and between regions, only once.
 */
import { Regions, type Distance } from '@gullwall/config.settings'
import { selectByRendezvous } from '@gullwall/routing.balancer'
import { type Link } from '@gullwall/transport.link'
import { type ControlServices } from './index.ts'

/** `first` publishes at once, `second` after a delay, `last` after a longer delay that gives the entry's own region precedence. */
export type PublishPriority = 'first' | 'second' | 'last'

export class Proximity {
  private readonly regions: Regions

  constructor (private readonly services: {
    settings: Pick<ControlServices['settings'], 'dataCentre' | 'regions' | 'member'>
    peers: Pick<ControlServices['peers'], 'links'>
  }) {
    this.regions = new Regions(services.settings.regions)
  }

  getDistanceTo (link: Link): Distance {
    return this.regions.distance(this.services.settings.dataCentre, link.peer.dataCentre)
  }

  /** Returns when this process publishes changes to an entry. */
  getPublishPriority (entry: Link): PublishPriority {
    const distance = this.getDistanceTo(entry)
    if (distance === 'same data centre') return 'first'
    if (this.regions.names.size < 2) return 'second'
    const { name, dataCentre } = entry.peer
    const regionProcesses = this.controlProcessesIn(this.regions.regionOf(dataCentre))
    if (distance === 'other region') return regionProcesses.length > 0 ? 'last' : 'second'
    if (regionProcesses.some((control) => control.dataCentre === dataCentre)) return 'second'
    // Entries without a control process in their data centre are distributed over the control processes of their region.
    const first = selectByRendezvous(name, regionProcesses, (control) => control.name)
    return first?.name === this.services.settings.member ? 'first' : 'second'
  }

  /** Returns the control processes of a region: this process if it belongs to the region, and those that it is linked to. */
  private controlProcessesIn (region: string): Array<{ name: string, dataCentre: string }> {
    const { settings, peers } = this.services
    const self = { name: settings.member, dataCentre: settings.dataCentre }
    const others = peers.links().map(({ peer: { name, dataCentre } }) => ({ name, dataCentre }))
    return [self, ...others].filter(({ dataCentre }) => this.regions.regionOf(dataCentre) === region)
  }
}
