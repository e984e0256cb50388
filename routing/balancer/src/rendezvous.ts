/** Rendezvous hashing: entries agree on the home of a subject without talking to each other. */
import { createHash } from 'node:crypto'

/** Gives the candidates in the order of preference for a subject; losing one candidate moves only its own subjects. */
export function rendezvousOrder<T> (subject: string, candidates: readonly T[], nameOf: (candidate: T) => string): T[] {
  const weighed = candidates.map((candidate) => ({ candidate, weight: weightOf(subject, nameOf(candidate)) }))
  return weighed.sort((left, right) => right.weight - left.weight).map(({ candidate }) => candidate)
}

function weightOf (subject: string, name: string): number {
  return createHash('md5').update(subject).update('\0').update(name).digest().readUInt32LE(0)
}
