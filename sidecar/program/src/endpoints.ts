/** The endpoints of this box with their slots, and the polling of the loads that engines report. */
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
  /** Returns the links, which are created after the endpoints. */
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
      onSend: () => notices.recordSent(local.name),
      admitWithoutSlot: settings.admitWithoutSlot,
      sendOffer: (entry, offer) => links().sendOffer(entry, offer),
      onChange: () => links().scheduleLoadReport(local.name)
    })
    table.set(local.name, { local, endpoint: connect(local, (head) => notices.recordResponseHead(local.name, head)), slots })
  }
  return table
}

function connect ({ kind, name, address }: LocalEndpoint, onAnyHead: ResponseHeadListener): Endpoint {
  return kind === 'engine' ? new OpenAiEngine(name, address, onAnyHead) : new HttpEndpoint(name, address, onAnyHead)
}

const POLL_MS = 1000
/** The share of an endpoint's advertised limit that must be free for a report to be requested. */
const REPORT_SHARE = 0.5

/**
 * Polls the load reports of engines, for the baseline policies and the status page, and probes draining endpoints to detect their
 * restart. An endpoint in backoff is not polled, and one with an advertised limit only while requests leave enough of the limit.
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
      if (notices.backoffs.remainingMs(name) > 0 || !this.hasCapacityForReport(name)) continue
      void this.pollOne(served)
    }
  }

  /** Whether enough of an advertised limit is free: reports count against it, and requests of callers go first. */
  private hasCapacityForReport (name: string): boolean {
    const meter = this.services.notices.meterOf(name)
    return !meter.isLimited || meter.remaining(performance.now()) >= Math.max(1, REPORT_SHARE * meter.maxRequests)
  }

  private async pollOne ({ endpoint, slots, local }: ServedEndpoint): Promise<void> {
    try {
      if (endpoint.readReportedLoad === undefined && !slots.isDraining) return
      this.services.notices.recordSent(local.name)
      if (endpoint.readReportedLoad !== undefined) slots.reportedInFlight = (await endpoint.readReportedLoad()).inFlight
      else await endpoint.probe()
    } catch (error) {
      // Attempts detect a failing endpoint more reliably than the poll.
      const why = `no report: ${messageOf(error)}`
      this.services.logger.debug({ channel: 'endpoint', event: 'notice', endpoint: local.name, why })
    }
  }
}
