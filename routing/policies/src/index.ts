/**
 * Baselines that bind a request to an endpoint when it arrives. They are kept
 * to measure late binding against; see docs/decisions.
 */
import { pickRandom, type EndpointView } from '@gullwall/routing.dispatcher'

export type BaselineName = 'round-robin' | 'least-reported-load' | 'power-of-two'

/** Chooses an endpoint among those a request may use. */
export type BaselinePolicy = (candidates: readonly EndpointView[]) => EndpointView | undefined

export function createBaseline (name: BaselineName): BaselinePolicy {
  switch (name) {
    case 'round-robin': return roundRobin()
    case 'least-reported-load': return leastReportedLoad
    case 'power-of-two': return powerOfTwo
  }
}

function roundRobin (): BaselinePolicy {
  let next = 0
  return (candidates) => candidates[next++ % candidates.length]
}

function leastReportedLoad (candidates: readonly EndpointView[]): EndpointView | undefined {
  const least = Math.min(...candidates.map((candidate) => candidate.load.reportedInFlight))
  return pickRandom(candidates.filter((candidate) => candidate.load.reportedInFlight === least))
}

function powerOfTwo (candidates: readonly EndpointView[]): EndpointView | undefined {
  const first = pickRandom(candidates)
  const second = pickRandom(candidates)
  if (first === undefined || second === undefined) return first
  return loadOf(second) < loadOf(first) ? second : first
}

function loadOf (view: EndpointView): number {
  return view.load.reportedInFlight + view.outstanding
}
