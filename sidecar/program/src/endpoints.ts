/** The endpoints of this box with their slots, and the poll of what engines report. */
import { type IdSequence } from '@gullwall/core.ids'
import { type LocalEndpoint, type SidecarSettings } from '@gullwall/config.settings'
import { type Endpoint } from '@gullwall/endpoint.dialect'
import { HttpEndpoint } from '@gullwall/endpoint.http'
import { OpenAiEngine } from '@gullwall/endpoint.openai'
import { type ReservationBook } from '@gullwall/routing.reservations'
import { type ServedEndpoint } from '@gullwall/sidecar.attempts'
import { EndpointSlots } from '@gullwall/sidecar.slots'
import { type EntryLinks } from './entry-links.ts'

/** The endpoints by name. */
export class EndpointTable extends Map<string, ServedEndpoint> {
  async stop (): Promise<void> {
    for (const { endpoint, slots } of this.values()) {
      slots.stop()
      await endpoint.close()
    }
  }
}

export interface ServedEndpointsOptions {
  settings: SidecarSettings
  book: ReservationBook
  offerIds: IdSequence
  /** The links, which are made after the endpoints. */
  links: () => EntryLinks
}

export function createServedEndpoints (options: ServedEndpointsOptions): EndpointTable {
  const { settings, book, offerIds, links } = options
  const table = new EndpointTable()
  for (const local of settings.endpoints) {
    const slots = new EndpointSlots({
      name: local.name,
      startLimit: local.startLimit,
      maxLimit: local.maxLimit,
      book,
      offerIds,
      admitWithoutSlot: settings.admitWithoutSlot,
      sendOffer: (entry, offer) => links().sendTo(entry, offer),
      onChange: () => links().loadChanged(local.name)
    })
    table.set(local.name, { local, endpoint: connect(local), slots })
  }
  return table
}

function connect (local: LocalEndpoint): Endpoint {
  return local.kind === 'engine' ? new OpenAiEngine(local.name, local.address) : new HttpEndpoint(local.name, local.address)
}

const POLL_MS = 1000

/** Reads the engines' load reports, for the baselines and for the status page. */
export class ReportPoller {
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly endpoints: EndpointTable) {}

  start (): void {
    this.timer = setInterval(() => this.poll(), POLL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private poll (): void {
    for (const served of this.endpoints.values()) void pollOne(served)
  }
}

async function pollOne ({ endpoint, slots }: ServedEndpoint): Promise<void> {
  try {
    const report = await endpoint.reportedLoad?.()
    if (report !== undefined) slots.reportedInFlight = report.inFlight
  } catch {
    // A report that fails says nothing that attempts will not show better.
  }
}
