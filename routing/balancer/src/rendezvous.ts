/** Rendezvous hashing: entries choose the same affinity endpoint for a prompt without exchanging messages. */

/** The offset basis and the prime of 32-bit FNV-1a. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Returns the candidate with the highest hash for a key. Removing a candidate changes the result only for the keys that it had. */
export function selectByRendezvous<T> (key: string, candidates: readonly T[], nameOf: (candidate: T) => string): T | undefined {
  const seed = fnv1a(key, FNV_OFFSET)
  let selected: T | undefined
  let highest = -1
  for (const candidate of candidates) {
    const candidateHash = finalise(fnv1a(nameOf(candidate), seed))
    if (candidateHash <= highest) continue
    highest = candidateHash
    selected = candidate
  }
  return selected
}

/** Returns a 32-bit hash of a name; it is the same in all entries. */
export function hashName (name: string): number {
  return finalise(fnv1a(name, FNV_OFFSET))
}

/** Returns a 32-bit hash of two hashes; it is the same in all entries. */
export function hashPair (left: number, right: number): number {
  return finalise(left ^ Math.imul(right, FNV_PRIME))
}

function fnv1a (text: string, start: number): number {
  let hash = start
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

/** The finalizer of MurmurHash3. Without it, names that differ only in their last characters would have similar hashes. */
function finalise (hash: number): number {
  let bits = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35)
  return (bits ^ (bits >>> 16)) >>> 0
}
