/**
 * Sends summaries of the queue to the sidecars. A summary is sent when a group of requests starts or stops waiting, or when its
 * size changes by more than a quarter, so that the number of messages does not grow with the request rate.
 */
import { type GroupSummary } from '@gullwall/routing.fair-queue'
import { type DemandRow } from '@gullwall/transport.messages'
import { type EndpointView, type RoutedRequest, type SidecarPort } from './types.ts'

/** The waiting requests of a group, and the endpoints they may use. */
export interface GroupDemand extends GroupSummary<RoutedRequest> {
  endpoints: readonly EndpointView[]
}

/** The minimum time between two summaries, in ms. */
const MIN_INTERVAL_MS = 5
/**
 * The largest relative change of a count that is not sent. A larger tolerance would leave slots idle for a round trip and then
 * fill them in bursts that disturb running streams.
 */
const COUNT_TOLERANCE = 0.25

export class DemandSender {
  /** The summary that each sidecar has, by row index; offers have been subtracted as the sidecar subtracts them. */
  private readonly sentRows = new Map<SidecarPort, Map<string, DemandRow>>()
  private timer: NodeJS.Timeout | undefined
  private lastFlushAt = -Infinity

  constructor (
    private readonly listDemands: () => GroupDemand[],
    private readonly listPorts: () => SidecarPort[],
    /** Counts the endpoints of a sidecar. */
    private readonly countEndpoints: (port: SidecarPort) => number
  ) {}

  /** Schedules a flush unless one is already scheduled. */
  schedule (): void {
    if (this.timer !== undefined) return
    const waitMs = Math.max(0, this.lastFlushAt + MIN_INTERVAL_MS - performance.now())
    this.timer = setTimeout(() => {
      this.timer = undefined
      this.flush()
    }, waitMs)
  }

  /** Records an offer, for which the sidecar has subtracted one request from its summary. */
  recordOffer (port: SidecarPort, className: string): void {
    for (const row of this.sentRows.get(port)?.values() ?? []) {
      if (row.class !== className || row.count === 0) continue
      row.count -= 1
      return
    }
  }

  removeSidecar (port: SidecarPort): void {
    this.sentRows.delete(port)
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  private flush (): void {
    this.lastFlushAt = performance.now()
    const demands = this.listDemands()
    for (const port of this.listPorts()) {
      const rows = createRows(port, demands, this.countEndpoints(port))
      if (!hasChanged(rows, this.sentRows.get(port))) continue
      this.sentRows.set(port, new Map(rows.map((row, index) => [`${index}`, { ...row }])))
      port.sendDemand(rows)
    }
  }
}

/** Creates the summary for one sidecar; an empty list of endpoints in a row stands for all of the sidecar's endpoints. */
function createRows (port: SidecarPort, demands: readonly GroupDemand[], endpointCount: number): DemandRow[] {
  const rows: DemandRow[] = []
  for (const demand of demands) {
    const endpoints = demand.endpoints.filter((view) => view.sidecar === port).map((view) => view.description.name)
    if (endpoints.length === 0) continue
    const { class: className, tier, sample, count, organisations } = demand
    const listed = endpoints.length === endpointCount ? [] : endpoints
    rows.push({ class: className, tier, floor: sample.floor, count, organisations, endpoints: listed })
  }
  return rows
}

function hasChanged (rows: readonly DemandRow[], sentRows: ReadonlyMap<string, DemandRow> | undefined): boolean {
  if (rows.length !== (sentRows?.size ?? 0)) return true
  return rows.some((row, index) => {
    const sent = sentRows?.get(`${index}`)
    if (sent === undefined || sent.class !== row.class) return true
    if (sent.endpoints.join() !== row.endpoints.join()) return true
    return hasCountChanged(row.count, sent.count)
  })
}

function hasCountChanged (current: number, sent: number): boolean {
  if ((current === 0) !== (sent === 0)) return true
  return Math.abs(current - sent) > COUNT_TOLERANCE * sent
}
