/** The metrics of a gateway. */
import { droppedLines } from '@gullwall/core.logger'
import { counter, durationHistogram, gauge, type Counter, type Histogram, type Registry } from '@gullwall/core.metrics'
import { type GatewayServices } from './index.ts'

export interface GatewayMetrics {
  requests: Counter<'route' | 'outcome'>
  duration: Histogram<'route'>
  firstEvent: Histogram<'route'>
  longestPause: Histogram<'route'>
  queued: Histogram<'route'>
  retries: Counter<'service'>
  /** Responses to callers whose status says that the request has not run. */
  refusals: Counter<'status' | 'evidence'>
  /** Responses of endpoints with such a status, but without the mark that would prove it. */
  unprovenResponses: Counter<'service' | 'status'>
  /** Responses of endpoints, and idle connections, whose bytes came without end. */
  endlessResponses: Counter<'service' | 'place'>
  crossRegionRequests: Counter<'region'>
  crossRegionBytes: Counter<'region'>
}

export function createGatewayMetrics (registry: Registry): GatewayMetrics {
  return {
    requests: counter(registry, 'gullwall_requests_total', 'Requests by route and outcome', ['route', 'outcome']),
    duration: durationHistogram(registry, 'gullwall_request_seconds', 'From the arrival of a request to the end of its answer', ['route']),
    firstEvent: durationHistogram(registry, 'gullwall_first_event_seconds', 'From the arrival of a request to its first event', ['route']),
    longestPause: durationHistogram(registry, 'gullwall_longest_pause_seconds', 'The longest time between two events of a stream', ['route']),
    queued: durationHistogram(registry, 'gullwall_queued_seconds', 'From the arrival of a request to its first attempt', ['route']),
    retries: counter(registry, 'gullwall_retries_total', 'Attempts sent after the first one of their request', ['service']),
    refusals: counter(registry, 'gullwall_refusals_total',
      'Responses with 408, 421, 429 or 503, by the proof that the request has not run: no byte was sent (unsent), or each endpoint marked its response so (marked)',
      ['status', 'evidence']),
    unprovenResponses: counter(registry, 'gullwall_unproven_responses_total',
      'Responses of endpoints with 408, 421, 429 or 503 that are not marked as not run', ['service', 'status']),
    endlessResponses: counter(registry, 'gullwall_endless_responses_total',
      'Responses of endpoints that were broken off since their bytes came without end, by the place where they did', ['service', 'place']),
    crossRegionRequests: counter(registry, 'gullwall_leaving_requests_total', 'Attempts sent to another region', ['region']),
    crossRegionBytes: counter(registry, 'gullwall_leaving_bytes_total', 'Bytes of these and of their answers', ['region'])
  }
}

/** Registers gauges for the state of this process, which are read when the metrics are scraped. */
export function registerStateGauges (registry: Registry, services: GatewayServices): void {
  const { view, controlLinks, retryBudgets, evacuatedDataCentres, crossRegionTraffic } = services
  const { coldEndpoints, limits, quarantine, notices, streamBuilds, connections, responseMemory } = services
  const add = (name: string, help: string, value: () => number) => {
    const metric = gauge(registry, name, help)
    Object.assign(metric, { collect: () => metric.set(value()) })
  }
  add('gullwall_document_version', 'Version of the routing document in force here', () => view.table?.version ?? 0)
  add('gullwall_document_age_seconds', 'How long it has been in force here', () => view.table === undefined ? 0 : view.documentAgeMs / 1000)
  add('gullwall_endpoints', 'Endpoints with a lease', () => view.endpointCount)
  add('gullwall_evacuated_data_centres', 'Data centres that are evacuated as far as this process knows', () => evacuatedDataCentres.evacuated.length)
  add('gullwall_control_links', 'Open links to control processes', () => controlLinks.openCount)
  add('gullwall_region_round_trip_seconds', 'Time to connect to another region', () => crossRegionTraffic.link.roundTripMs / 1000)
  add('gullwall_log_lines_dropped', 'Log lines left out since the start', () => droppedLines())
  add('gullwall_retry_budget_left', 'Repeats that the strictest service allows', () => retryBudgets.remaining)
  add('gullwall_known_entries', 'Entries that share the budgets of the deployment, as this process knows', () => view.entryCount)
  add('gullwall_cold_endpoints', 'Endpoints that are cold, as this process knows', () => coldEndpoints.coldCount)
  add('gullwall_cold_kept_requests_total', 'Requests kept from a cold endpoint for want of a grant', () => coldEndpoints.totals.excluded)
  add('gullwall_cold_sent_requests_total', 'Requests sent to cold endpoints under a grant', () => coldEndpoints.totals.sent)
  add('gullwall_endpoint_crashes_total', 'Crashes of endpoints at which requests of this process were running', () => quarantine.crashCount)
  add('gullwall_quarantined_requests', 'Requests that are held because endpoints crash under them, as this process knows', () => quarantine.size)
  add('gullwall_connections_closed_unread_total', 'New connections that were closed unread while this process had too much work', () => services.ingress.shedder.closedCount)
  add('gullwall_quarantined_parts', 'Parts of prompts that are held because endpoints crash under them, as this process knows', () => quarantine.parts.size)
  add('gullwall_quarantine_refusals_total', 'Requests that were refused since they are held', () => quarantine.refusedCount)
  add('gullwall_backing_off_endpoints', 'Endpoints that asked this process to be left alone, or come back from that', () => notices.backoffs.size)
  add('gullwall_backoffs_asked_total', 'Answers in which endpoints asked to be left alone', () => notices.backoffs.requestedCount)
  add('gullwall_draining_heard_total', 'Endpoints of which an answer first told that they drain', () => notices.totals.draining)
  add('gullwall_unreadable_notices_total', 'Times and limits named by endpoints that could not be understood', () => notices.totals.invalid)
  add('gullwall_foreign_responses_total', 'Responses that belong to another request than the one that waited for a response', () => notices.totals.foreign)
  add('gullwall_unsolicited_responses_total', 'Connections that were closed because a response came while no request was waiting', () => connections.unsolicitedCount)
  add('gullwall_kept_response_bytes', 'Bytes of responses that are kept until they are complete', () => responseMemory.totalBytes)
  add('gullwall_limits_named_total', 'Answers in which endpoints named a limit of requests a second', () => notices.totals.limits)
  add('gullwall_limited_endpoints', 'Endpoints that have named a limit, as this process knows', () => limits.size)
  add('gullwall_limited_kept_requests_total', 'Requests kept from a limited endpoint for want of a grant', () => limits.totals.excluded)
  add('gullwall_limited_sent_requests_total', 'Requests sent to limited endpoints under a grant', () => limits.totals.sent)
  add('gullwall_limited_withheld_requests_total', 'Requests kept back before their first byte', () => limits.totals.withheld)
  add('gullwall_limited_asks_total', 'Asks for grants to limited endpoints', () => limits.grantRequester.totals.requests)
  add('gullwall_limited_failed_asks_total', 'Such asks that nobody answered', () => limits.grantRequester.totals.failed)
  add('gullwall_streams_taken_up_total', 'Streams that callers took up, and whose build was known', () => streamBuilds.totals.known)
  add('gullwall_streams_of_unknown_build_total', 'Streams that callers took up, and whose build was not known', () => streamBuilds.totals.unknown)
  add('gullwall_stream_bindings', 'Bindings of streams that this process holds', () => streamBuilds.size)
  add('gullwall_cold_asks_total', 'Asks for grants', () => coldEndpoints.grantRequester.totals.requests)
  add('gullwall_cold_failed_asks_total', 'Asks for grants that nobody answered', () => coldEndpoints.grantRequester.totals.failed)
}
