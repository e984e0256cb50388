/**
 * Whose turn it is to tell an entry what is new. Each entry is linked to every control process; those near it tell it
 * first, so that a word crosses between data centres, and between regions, once and is passed on inside.
 */
import { Regions, type Distance } from '@gullwall/config.settings'
import { selectByRendezvous } from '@gullwall/routing.balancer'
import { type Link } from '@gullwall/transport.link'
import { type ControlServices } from './index.ts'

/** `first`: at once; `second`: if the entry has not heard by then; `last`: if its own region has not told it. */
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

  /** When this process tells an entry. */
  getPublishPriority (entry: Link): PublishPriority {
    const distance = this.getDistanceTo(entry)
    if (distance === 'same data centre') return 'first'
    if (this.regions.names.size < 2) return 'second'
    const { name, dataCentre } = entry.peer
    const inRegion = this.controlsIn(this.regions.regionOf(dataCentre))
    if (distance === 'other region') return inRegion.length > 0 ? 'last' : 'second'
    if (inRegion.some((control) => control.dataCentre === dataCentre)) return 'second'
    // Entries without a control process in their data centre are spread among those of their region.
    const first = selectByRendezvous(name, inRegion, (control) => control.name)
    return first?.name === this.services.settings.member ? 'first' : 'second'
  }

  /** The control processes of a region that this one is linked to, itself included. */
  private controlsIn (region: string): Array<{ name: string, dataCentre: string }> {
    const { settings, peers } = this.services
    const self = { name: settings.member, dataCentre: settings.dataCentre }
    const others = peers.links().map(({ peer: { name, dataCentre } }) => ({ name, dataCentre }))
    return [self, ...others].filter(({ dataCentre }) => this.regions.regionOf(dataCentre) === region)
  }
}
