/** The choice among endpoints whose slots are known to be free, without waiting for an offer. */
import { type EndpointView } from './types.ts'

/**
 * Chooses an endpoint with a spare slot, preferably in the same data centre. It takes two at random and chooses the one with the
 * larger fraction of free slots, so that entries with the same state do not all choose the same endpoint.
 */
export function chooseEndpointWithSpareSlot (candidates: readonly EndpointView[], dataCentre: string): EndpointView | undefined {
  const spare = candidates.filter((view) => view.load.spare > 0)
  const local = spare.filter((view) => view.sidecar.dataCentre === dataCentre)
  return chooseBetterOfTwo(local.length > 0 ? local : spare)
}

function chooseBetterOfTwo (views: readonly EndpointView[]): EndpointView | undefined {
  const first = pickRandom(views)
  const second = pickRandom(views)
  if (first === undefined || second === undefined) return first
  return computeFreeShare(second) > computeFreeShare(first) ? second : first
}

function computeFreeShare (view: EndpointView): number {
  return view.load.spare / Math.max(1, view.load.limit)
}

/** Picks a random item; undefined if there are none. */
export function pickRandom<T> (items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)]
}
