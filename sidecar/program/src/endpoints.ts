/** The endpoints of this box with their slots, and the poll of what engines report. */
import { messageOf } from '@gullwall/core.error'
import { type IdSequence } from '@gullwall/core.ids'
import { type LocalEndpoint, type SidecarSettings } from '@gullwall/config.settings'
import { type Endpoint, type ResponseHeadListener } from '@gullwall/endpoint.dialect'
import { HttpEndpoint } from '@gullwall/endpoint.http'
import { OpenAiEngine } from '@gullwall/endpoint.openai'
import { type ReservationBook } from '@gullwall/routing.reservations'
import { type ServedEndpoint } from '@gullwall/sidecar.attempts'
import { EndpointSlots } from '@gullwall/sidecar.slots'
import { type EngineNotices } from './engine-notices.ts'
import { type EntryLinks } from './entry-links.ts'
import { type SidecarServices } from './index.ts'

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
  notices: EngineNotices
  /** The links, which are made after the endpoints. */
  links: () => EntryLinks
}

export function createServedEndpoints (options: ServedEndpointsOptions): EndpointTable {
  const { settings, book, offerIds, links, notices } = options
  const table = new EndpointTable()
  for (const local of settings.endpoints) {
    const slots = new EndpointSlots({
      name: local.name,
      startLimit: local.startLimit,
      maxLimit: local.maxLimit,
      book,
      offerIds,
      backoffs: notices.backoffs,
      meter: notices.meterOf(local.name),
      onSend: () => notices.noteSent(local.name),
      admitWithoutSlot: settings.admitWithoutSlot,
      sendOffer: (entry, offer) => links().sendTo(entry, offer),
      onChange: () => links().loadChanged(local.name)
    })
    table.set(local.name, { local, endpoint: connect(local, (head) => notices.take(local.name, head)), slots })
  }
  return table
}

function connect ({ kind, name, address }: LocalEndpoint, onAnyHead: ResponseHeadListener): Endpoint {
  return kind === 'engine' ? new OpenAiEngine(name, address, onAnyHead) : new HttpEndpoint(name, address, onAnyHead)
}

const POLL_MS = 1000
/** The share of a limit that must be left for a report to be asked for. */
const REPORT_SHARE = 0.5

/**
 * Reads the engines' load reports, for the baselines and for the status page, and looks whether an endpoint that drains has
 * started again. One that wants to be left alone is asked for nothing, and one that names a limit only for what work leaves of it.
 */
export class ReportPoller {
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly services: Pick<SidecarServices, 'endpoints' | 'notices' | 'logger'>) {}

  start (): void {
    this.timer = setInterval(() => this.poll(), POLL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private poll (): void {
    const { endpoints, notices } = this.services
    for (const [name, served] of endpoints) {
      if (notices.backoffs.remainingMs(name) > 0 || !this.hasRoomFor(name)) continue
      void this.pollOne(served)
    }
  }

  /** Work goes first: a report is asked for only while half of the limit is left. */
  private hasRoomFor (name: string): boolean {
    const meter = this.services.notices.meterOf(name)
    return !meter.isLimited || meter.remaining(performance.now()) >= Math.max(1, REPORT_SHARE * meter.maxRequests)
  }

  private async pollOne ({ endpoint, slots, local }: ServedEndpoint): Promise<void> {
    try {
      if (endpoint.readReportedLoad === undefined && !slots.isDraining) return
      this.services.notices.noteSent(local.name)
      if (endpoint.readReportedLoad !== undefined) slots.reportedInFlight = (await endpoint.readReportedLoad()).inFlight
      else await endpoint.probe()
    } catch (error) {
      // A report that fails says nothing that attempts will not show better.
      const why = `no report: ${messageOf(error)}`
      this.services.logger.debug({ channel: 'endpoint', event: 'notice', endpoint: local.name, why })
    }
  }
}
