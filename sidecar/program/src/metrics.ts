/** The sidecar's metrics. */
import { Gauge, type Registry } from '@gullwall/core.metrics'
import { type SidecarServices } from './index.ts'

type MeasuredServices = Pick<SidecarServices, 'endpoints' | 'entryLinks' | 'notices'>

export function sidecarMetrics (registry: Registry, { endpoints, entryLinks: links, notices }: MeasuredServices): void {
  const perEndpoint = (name: string, help: string, read: (load: { inFlight: number, limit: number, tokenGapMs: number }) => number) => {
    const metric = new Gauge({
      name,
      help,
      labelNames: ['endpoint'],
      registers: [registry],
      collect () {
        for (const { slots, local } of endpoints.values()) metric.set({ endpoint: local.name }, read(slots.load()))
      }
    })
  }
  const MS_PER_SECOND = 1000
  perEndpoint('gullwall_sidecar_attempts_in_flight', 'Attempts running on an endpoint.', (load) => load.inFlight)
  perEndpoint('gullwall_sidecar_attempts_limit', 'How many attempts may run on an endpoint.', (load) => load.limit)
  perEndpoint('gullwall_sidecar_token_gap_seconds', 'Median time between tokens.', (load) => load.tokenGapMs / MS_PER_SECOND)
  const addCount = (name: string, help: string, read: () => number) => {
    const metric = new Gauge({ name, help, registers: [registry], collect: () => { metric.set(read()) } })
  }
  addCount('gullwall_backing_off_endpoints', 'Endpoints that asked to be left alone, or come back from that.', () => notices.backoffs.size)
  addCount('gullwall_backoffs_asked_total', 'Answers in which endpoints asked to be left alone.', () => notices.backoffs.requestedCount)
  addCount('gullwall_unreadable_notices_total', 'Times asked for by endpoints that could not be understood.', () => notices.invalidCount)
  const linkCount = new Gauge({
    name: 'gullwall_sidecar_links', help: 'Open links of entries.', registers: [registry], collect: () => { linkCount.set(links.linkCount) }
  })
}
