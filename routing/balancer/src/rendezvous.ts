/** Rendezvous hashing: entries agree on the home of a subject without talking to each other. */

/** FNV-1a over 32 bits: where it starts, and what each character multiplies by. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Gives the candidate that a subject prefers; losing one candidate moves only its own subjects. */
export function selectByRendezvous<T> (subject: string, candidates: readonly T[], nameOf: (candidate: T) => string): T | undefined {
  const seed = fnv1a(subject, FNV_OFFSET)
  let first: T | undefined
  let highest = -1
  for (const candidate of candidates) {
    const weight = mixed(fnv1a(nameOf(candidate), seed))
    if (weight <= highest) continue
    highest = weight
    first = candidate
  }
  return first
}

/** A rank of a name that says nothing else of it; entries agree on it. */
export function hashName (name: string): number {
  return mixed(fnv1a(name, FNV_OFFSET))
}

/** A rank of a pair of ranks; entries agree on it. */
export function hashPair (left: number, right: number): number {
  return mixed(left ^ Math.imul(right, FNV_PRIME))
}

function fnv1a (text: string, start: number): number {
  let hash = start
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

/** The finalizer of MurmurHash3: names that differ in their last character only get weights that have nothing in common. */
function mixed (hash: number): number {
  let bits = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35)
  return (bits ^ (bits >>> 16)) >>> 0
}
