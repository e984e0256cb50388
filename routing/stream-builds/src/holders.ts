/** Which control processes hold the bindings of the streams that a gateway begins. */
import { createHash } from 'node:crypto'

/** Number of control processes that hold a binding besides the gateway, so that it survives the loss of the gateway and of one of them. */
export const HOLDER_COUNT = 2

export interface HolderCandidate {
  /** A name that is the same over restarts. */
  name: string
  dataCentre: string
  /** Whether it is in the region of the gateway. */
  isLocalRegion: boolean
}

/**
 * Chooses the holders for a gateway: by rendezvous hashing, so that a change of the candidates moves few gateways; in its own region
 * first, and in different data centres where there are several.
 */
export function chooseHolders<Candidate extends HolderCandidate> (gateway: string, candidates: readonly Candidate[]): Candidate[] {
  const ranked = candidates
    .map((candidate) => ({ candidate, rank: rankOf(gateway, candidate.name) }))
    .sort((left, right) => (
      Number(right.candidate.isLocalRegion) - Number(left.candidate.isLocalRegion) || (left.rank < right.rank ? -1 : 1)
    ))
    .map(({ candidate }) => candidate)
  const [first] = ranked
  if (first === undefined) return []
  const others = ranked.slice(1)
  const elsewhere = others.filter(({ dataCentre, isLocalRegion }) => (
    dataCentre !== first.dataCentre && isLocalRegion === first.isLocalRegion
  ))
  return [...new Set([first, ...elsewhere, ...others])].slice(0, HOLDER_COUNT)
}

function rankOf (gateway: string, candidate: string): string {
  return createHash('sha256').update(`${gateway}\n${candidate}`).digest('hex')
}
