/** Prometheus metrics: one registry for each process, units in the names. */
import { Registry, Counter, Gauge, Histogram, collectDefaultMetrics } from 'prom-client'

export { Registry, Counter, Gauge, Histogram }

export interface MetricsOptions {
  /** Also collect the figures of the Node.js process. */
  process?: boolean
}

const LATENCY_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.7, 1, 2.5, 5, 10, 30, 60]

export function createRegistry (options: MetricsOptions = {}): Registry {
  const registry = new Registry()
  if (options.process === true) collectDefaultMetrics({ register: registry })
  return registry
}

export function counter<Label extends string> (registry: Registry, name: string, help: string, labelNames: Label[] = []): Counter<Label> {
  return new Counter({ name, help, labelNames, registers: [registry] })
}

export function gauge<Label extends string> (registry: Registry, name: string, help: string, labelNames: Label[] = []): Gauge<Label> {
  return new Gauge({ name, help, labelNames, registers: [registry] })
}

/** A histogram of durations in seconds. */
export function durationHistogram<Label extends string> (
  registry: Registry, name: string, help: string, labelNames: Label[] = []
): Histogram<Label> {
  return new Histogram({ name, help, labelNames, buckets: LATENCY_BUCKETS_SECONDS, registers: [registry] })
}
