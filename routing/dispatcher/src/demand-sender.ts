/**
 * Keeps the reservations at the sidecars in step with the queue. A summary is
 * sent when waiting work appears or vanishes, or its amount has moved by a
 * quarter: messages do not grow with the request rate.
 */
import { type GroupSummary } from '@gullwall/routing.fair-queue'
import { type DemandRow } from '@gullwall/transport.messages'
import { type EndpointView, type RoutedRequest, type SidecarPort } from './types.ts'

/** A group's waiting work and the endpoints it may be offered. */
export interface GroupDemand extends GroupSummary<RoutedRequest> {
  endpoints: readonly EndpointView[]
}

/** The least time between two summaries to the sidecars, in ms. */
const MIN_INTERVAL_MS = 5
/** Coarser steps leave slots idle for a round trip, and then fill them in bursts that disturb the streams that run. */
const COUNT_TOLERANCE = 0.25

export class DemandSender {
  /** What each sidecar believes, by group. */
  private readonly believed = new Map<SidecarPort, Map<string, DemandRow>>()
  private timer: NodeJS.Timeout | undefined
  private lastFlush = -Infinity

  constructor (
    private readonly demands: () => GroupDemand[],
    private readonly ports: () => SidecarPort[],
    /** How many endpoints a sidecar has. */
    private readonly endpointCount: (port: SidecarPort) => number
  ) {}

  /** Sends soon; calls in the meantime are joined. */
  schedule (): void {
    if (this.timer !== undefined) return
    const wait = Math.max(0, this.lastFlush + MIN_INTERVAL_MS - performance.now())
    this.timer = setTimeout(() => {
      this.timer = undefined
      this.flush()
    }, wait)
  }

  /** An offer takes one request off the summary at the sidecar. */
  recordOffer (port: SidecarPort, className: string): void {
    for (const row of this.believed.get(port)?.values() ?? []) {
      if (row.class !== className || row.count === 0) continue
      row.count -= 1
      return
    }
  }

  removeSidecar (port: SidecarPort): void {
    this.believed.delete(port)
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  private flush (): void {
    this.lastFlush = performance.now()
    const demands = this.demands()
    for (const port of this.ports()) {
      const rows = rowsFor(port, demands, this.endpointCount(port))
      if (!differs(rows, this.believed.get(port))) continue
      this.believed.set(port, new Map(rows.map((row, index) => [`${index}`, { ...row }])))
      port.sendDemand(rows)
    }
  }
}

function rowsFor (port: SidecarPort, demands: readonly GroupDemand[], endpointCount: number): DemandRow[] {
  const rows: DemandRow[] = []
  for (const demand of demands) {
    const endpoints = demand.endpoints.filter((view) => view.sidecar === port).map((view) => view.description.name)
    if (endpoints.length === 0) continue
    const { class: className, tier, sample, count, organisations } = demand
    const named = endpoints.length === endpointCount ? [] : endpoints
    rows.push({ class: className, tier, floor: sample.floor, count, organisations, endpoints: named })
  }
  return rows
}

function differs (rows: readonly DemandRow[], believed: ReadonlyMap<string, DemandRow> | undefined): boolean {
  if (rows.length !== (believed?.size ?? 0)) return true
  return rows.some((row, index) => {
    const before = believed?.get(`${index}`)
    if (before === undefined || before.class !== row.class) return true
    if (before.endpoints.join() !== row.endpoints.join()) return true
    return countDiffers(row.count, before.count)
  })
}

function countDiffers (now: number, before: number): boolean {
  if ((now === 0) !== (before === 0)) return true
  return Math.abs(now - before) > COUNT_TOLERANCE * before
}
