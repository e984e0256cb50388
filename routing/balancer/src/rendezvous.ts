/** Rendezvous hashing: entries agree on the home of a subject without talking to each other. */
import { createHash } from 'node:crypto'

/** Weights that are kept, since the same subjects come again and again. */
const MAX_KEPT_WEIGHTS = 20_000
const keptWeights = new Map<string, number>()

/** Gives the candidate that a subject prefers; losing one candidate moves only its own subjects. */
export function rendezvousFirst<T> (subject: string, candidates: readonly T[], nameOf: (candidate: T) => string): T | undefined {
  let first: T | undefined
  let highest = -1
  for (const candidate of candidates) {
    const weight = weightOf(subject, nameOf(candidate))
    if (weight <= highest) continue
    highest = weight
    first = candidate
  }
  return first
}

function weightOf (subject: string, name: string): number {
  const key = `${subject}\0${name}`
  const kept = keptWeights.get(key)
  if (kept !== undefined) return kept
  if (keptWeights.size >= MAX_KEPT_WEIGHTS) keptWeights.clear()
  const weight = createHash('md5').update(key).digest().readUInt32LE(0)
  keptWeights.set(key, weight)
  return weight
}
