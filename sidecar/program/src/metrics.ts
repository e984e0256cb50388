/** The sidecar's metrics. */
import { Gauge, type Registry } from '@gullwall/core.metrics'
import { type EndpointTable } from './endpoints.ts'
import { type EntryLinks } from './entry-links.ts'

export function sidecarMetrics (registry: Registry, endpoints: EndpointTable, links: EntryLinks): void {
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
  const linkCount = new Gauge({
    name: 'gullwall_sidecar_links', help: 'Open links of entries.', registers: [registry], collect: () => { linkCount.set(links.linkCount) }
  })
}
