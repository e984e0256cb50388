/** The straight path: choosing among endpoints whose slots are known to be free. */
import { type EndpointView } from './types.ts'

/**
 * Chooses an endpoint with a spare slot, in the own data centre first. Of two
 * taken at random the one with the larger free share wins, so that entries with
 * the same picture do not all choose the same endpoint.
 */
export function chooseEndpointWithSpareSlot (candidates: readonly EndpointView[], dataCentre: string): EndpointView | undefined {
  const spare = candidates.filter((view) => view.load.spare > 0)
  const local = spare.filter((view) => view.sidecar.dataCentre === dataCentre)
  return betterOfTwo(local.length > 0 ? local : spare)
}

function betterOfTwo (views: readonly EndpointView[]): EndpointView | undefined {
  const first = pickRandom(views)
  const second = pickRandom(views)
  if (first === undefined || second === undefined) return first
  return freeShare(second) > freeShare(first) ? second : first
}

function freeShare (view: EndpointView): number {
  return view.load.spare / Math.max(1, view.load.limit)
}

/** One of some items, at random. */
export function pickRandom<T> (items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)]
}
