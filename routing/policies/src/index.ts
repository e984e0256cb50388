/** Baseline policies that bind a request to an endpoint when it arrives, for comparison with late binding; see docs/decisions. */
import { pickRandom, type EndpointView } from '@gullwall/routing.dispatcher'

export type BaselineName = 'round-robin' | 'least-reported-load' | 'power-of-two'

/** Chooses one of the endpoints that a request may use. */
export type BaselinePolicy = (candidates: readonly EndpointView[]) => EndpointView | undefined

export function createBaseline (name: BaselineName): BaselinePolicy {
  switch (name) {
    case 'round-robin': return createRoundRobin()
    case 'least-reported-load': return chooseLeastReportedLoad
    case 'power-of-two': return choosePowerOfTwo
  }
}

function createRoundRobin (): BaselinePolicy {
  let next = 0
  return (candidates) => candidates[next++ % candidates.length]
}

function chooseLeastReportedLoad (candidates: readonly EndpointView[]): EndpointView | undefined {
  const least = Math.min(...candidates.map((candidate) => candidate.load.reportedInFlight))
  return pickRandom(candidates.filter((candidate) => candidate.load.reportedInFlight === least))
}

/** Chooses the less loaded of two random endpoints. */
function choosePowerOfTwo (candidates: readonly EndpointView[]): EndpointView | undefined {
  const first = pickRandom(candidates)
  const second = pickRandom(candidates)
  if (first === undefined || second === undefined) return first
  return computeLoad(second) < computeLoad(first) ? second : first
}

function computeLoad (view: EndpointView): number {
  return view.load.reportedInFlight + view.outstanding
}
