/** Configurations of a small deployment, with the limits and shapes of the pages' examples. */

export const HOST = 'ficu95.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'

export const LIMITS = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }

/** One route; the parts that a case names replace the usual ones. */
export function routeOf (parts) {
  return {
    name: `r-${parts.path_prefix.replaceAll('/', '')}`,
    hostname: HOST,
    route_type: 'idempotent',
    timeout_ms: 12000,
    slo_ms: 1500,
    priority: 1,
    max_attempts: 1,
    public: false,
    sticky: false,
    resumable: false,
    ...parts
  }
}

export function serviceOf (name, parts = {}) {
  return { name, health_path: '/healthz', max_connections: 360, protocol: 'h1', tls: false, ...parts }
}

export function configurationOf ({ version = 1, routes, services, limits = LIMITS, tenants }) {
  return { version, routes, services, limits, tenants: tenants ?? [{ name: 'hule930', api_keys: [KEY] }] }
}

/** The headers of a client's request. */
export function headersOf (id, { deadlineMs = 12000, ...others } = {}) {
  return { Host: HOST, 'X-Attempt-Id': id, 'X-Deadline-Ms': deadlineMs, Authorization: `Bearer ${KEY}`, ...others }
}
