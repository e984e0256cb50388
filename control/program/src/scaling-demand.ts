/** What control sees of the demand for the services whose endpoints it orders, by service and data centre. */
import { type RoutingDocument, type Scaling } from '@gullwall/config.document'
import { type KnownLease, type LeaseTable } from '@gullwall/control.registry'
import { PrefillObserver } from '@gullwall/routing.balancer'
import { type LoadSummary } from '@gullwall/transport.messages'
import { type Demand } from './scaling-policy.ts'
import { type LoadSnapshot } from './load-relay.ts'

/** The demand for a service in a data centre where it runs. */
export interface ObservedDemand {
  service: string
  dataCentre: string
  scaling: Scaling
  demand: Demand
}

export interface DemandSources {
  document: RoutingDocument
  leases: Pick<LeaseTable, 'all' | 'isUsable'>
  load: Pick<LoadSnapshot, 'works' | 'readings'>
  isWhole: boolean
}

/** The share of the shortest target that may pass while prompts before are read: what is left is for reading and queues. */
const WAIT_SHARE = 0.25
/** The wait that is aimed at where no route names a target, in ms. */
const DEFAULT_WAIT_MS = 250
/** How fast an endpoint is taken to read that nobody has seen reading. */
const UNKNOWN_TOKENS_PER_MS = new PrefillObserver().tokensPerMs

/** Gives the demand at each data centre where an endpoint of a service with `scaling` is known. */
export function observeDemand (sources: DemandSources): ObservedDemand[] {
  const { document, leases } = sources
  const present = leases.all().filter(({ state }) => state !== 'gone')
  const scaled = document.services.flatMap(({ name, scaling }) => scaling === undefined ? [] : [{ name, scaling }])
  return scaled.flatMap(({ name, scaling }) => {
    const aimedWaitMs = aimedWaitOf(document, name)
    const endpoints = present.filter(({ service }) => service === name)
    return [...new Set(endpoints.map(({ dataCentre }) => dataCentre))].map((dataCentre) => {
      const held = endpoints.filter((lease) => lease.dataCentre === dataCentre)
      return { service: name, dataCentre, scaling, demand: { ...demandAt(held, sources), aimedWaitMs } }
    })
  })
}

/** Endpoints that leave count with what still runs there: what follows it comes to the others. */
function demandAt (held: readonly KnownLease[], { leases, load, isWhole }: DemandSources): Omit<Demand, 'aimedWaitMs'> {
  const names = new Set(held.map(({ incarnation }) => incarnation))
  const works = load.works.filter(({ incarnation }) => names.has(incarnation))
  const speeds = load.readings.filter(({ incarnation }) => names.has(incarnation)).map(({ tokensPerMs }) => tokensPerMs)
  const ready = held.filter(({ incarnation }) => leases.isUsable(incarnation))
  return {
    ready: ready.length,
    slots: sum(ready.map(({ slots }) => slots)),
    running: sum(works.map(({ running }) => running)),
    unreadTokens: sum(works.map(unreadAt)),
    tokensPerMs: speeds.length === 0 ? UNKNOWN_TOKENS_PER_MS : sum(speeds) / speeds.length,
    isWhole
  }
}

function aimedWaitOf ({ routes }: RoutingDocument, service: string): number {
  const targets = routes.filter(({ split }) => split.some((part) => part.service === service)).map(({ targetMs }) => targetMs)
  const named = targets.filter((targetMs) => targetMs > 0)
  return named.length === 0 ? DEFAULT_WAIT_MS : WAIT_SHARE * Math.min(...named)
}

function unreadAt ({ unread }: LoadSummary): number {
  return sum(unread.map(({ tokens }) => tokens))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
