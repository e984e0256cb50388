/** Computes the demand for the services whose endpoints this process orders, by service and data centre. */
import { type RoutingDocument, type Scaling } from '@gullwall/config.document'
import { type KnownLease, type LeaseTable } from '@gullwall/control.registry'
import { PrefillObserver } from '@gullwall/routing.balancer'
import { type LoadSummary } from '@gullwall/transport.messages'
import { type Demand } from './scaling-policy.ts'
import { type LoadSnapshot } from './load-relay.ts'

/** The demand for a service in a data centre that has endpoints of the service. */
export interface ObservedDemand {
  service: string
  dataCentre: string
  scaling: Scaling
  demand: Demand
}

export interface DemandSources {
  document: RoutingDocument
  leases: Pick<LeaseTable, 'all' | 'isUsable'>
  load: Pick<LoadSnapshot, 'loads' | 'readings'>
  isComplete: boolean
}

/** Share of the shortest latency target that may pass while earlier prompts are read. The request's own prompt and queues take the rest. */
const TARGET_WAIT_SHARE = 0.25
/** Target wait of a service whose routes have no latency target, in ms. */
const DEFAULT_TARGET_WAIT_MS = 250
/** Assumed reading speed if none was observed, in tokens per ms. */
const DEFAULT_TOKENS_PER_MS = new PrefillObserver().tokensPerMs

/** Returns the demand for each service with `scaling` in each data centre where an endpoint of the service is known. */
export function observeDemand (sources: DemandSources): ObservedDemand[] {
  const { document, leases } = sources
  const present = leases.all().filter(({ state }) => state !== 'gone')
  const scaled = document.services.flatMap(({ name, scaling }) => scaling === undefined ? [] : [{ name, scaling }])
  return scaled.flatMap(({ name, scaling }) => {
    const targetWaitMs = findTargetWaitMs(document, name)
    const endpoints = present.filter(({ service }) => service === name)
    return [...new Set(endpoints.map(({ dataCentre }) => dataCentre))].map((dataCentre) => {
      const endpointLeases = endpoints.filter((lease) => lease.dataCentre === dataCentre)
      return { service: name, dataCentre, scaling, demand: { ...computeDemand(endpointLeases, sources), targetWaitMs } }
    })
  })
}

/** Computes the demand of one data centre. Load at draining endpoints counts, since later requests go to the other endpoints. */
function computeDemand (endpointLeases: readonly KnownLease[], { leases, load, isComplete }: DemandSources): Omit<Demand, 'targetWaitMs'> {
  const names = new Set(endpointLeases.map(({ incarnation }) => incarnation))
  const loads = load.loads.filter(({ incarnation }) => names.has(incarnation))
  const readingSpeeds = load.readings.filter(({ incarnation }) => names.has(incarnation)).map(({ tokensPerMs }) => tokensPerMs)
  const readyLeases = endpointLeases.filter(({ incarnation }) => leases.isUsable(incarnation))
  return {
    readyEndpoints: readyLeases.length,
    slots: sum(readyLeases.map(({ slots }) => slots)),
    running: sum(loads.map(({ running }) => running)),
    unreadTokens: sum(loads.map(sumUnreadTokens)),
    tokensPerMs: readingSpeeds.length === 0 ? DEFAULT_TOKENS_PER_MS : sum(readingSpeeds) / readingSpeeds.length,
    isComplete
  }
}

function findTargetWaitMs ({ routes }: RoutingDocument, service: string): number {
  const targets = routes.filter(({ split }) => split.some((part) => part.service === service)).map(({ targetMs }) => targetMs)
  const positiveTargets = targets.filter((targetMs) => targetMs > 0)
  return positiveTargets.length === 0 ? DEFAULT_TARGET_WAIT_MS : TARGET_WAIT_SHARE * Math.min(...positiveTargets)
}

function sumUnreadTokens ({ unread }: LoadSummary): number {
  return sum(unread.map(({ tokens }) => tokens))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
