/**
 * Finds the requests that crash endpoints among those that were running when endpoints crashed. A crash takes everything
 * down that runs there, and what is repeated meets the same request at the next endpoint, so that to have been there
 * often proves little: a crash that one request explains says little of the others.
 */

/** With so many crashes a request is held: two may meet it by chance, since what is repeated runs beside it again. */
export const MIN_CRASHES = 3
/** Where another request was in as many of the same crashes neither is held yet, but with so many both are. */
const CRASHES_FOR_SURE = 5
/** What a crash counts that another request explains already. */
const EXPLAINED_WEIGHT = 0.5

/** The requests that ran at one endpoint when it crashed, by fingerprint. */
export type RequestsAtCrash = ReadonlySet<string>

export interface CrashCauseOptions {
  crashes: Iterable<RequestsAtCrash>
  /** Requests that are held: they explain the crashes that they were in. */
  quarantined: ReadonlySet<string>
  /** Requests that were held before: one crash is enough. */
  formerlyQuarantined: ReadonlySet<string>
}

interface Candidate {
  fingerprint: string
  /** Its crashes that nothing else explains. */
  own: ReadonlySet<RequestsAtCrash>
  score: number
}

/** Gives the requests that are to be held besides those that are; the same for the same crashes in any order. */
export function findCrashCauses ({ crashes, quarantined, formerlyQuarantined }: CrashCauseOptions): string[] {
  const all = [...crashes]
  const found = new Set<string>()
  const isExplained = (crash: RequestsAtCrash) => [...crash].some((fingerprint) => quarantined.has(fingerprint) || found.has(fingerprint))
  for (;;) {
    const candidates = candidatesOf(all, isExplained).filter(({ fingerprint }) => !quarantined.has(fingerprint) && !found.has(fingerprint))
    const next = candidates.find((candidate) => isBlamed(candidate, candidates, formerlyQuarantined))
    if (next === undefined) return [...found]
    found.add(next.fingerprint)
  }
}

/** Requests with a crash that nothing explains, the most suspicious first. */
function candidatesOf (crashes: readonly RequestsAtCrash[], isExplained: (crash: RequestsAtCrash) => boolean): Candidate[] {
  const own = new Map<string, Set<RequestsAtCrash>>()
  const explained = new Map<string, number>()
  for (const crash of crashes) {
    const isOther = isExplained(crash)
    for (const fingerprint of crash) {
      if (isOther) explained.set(fingerprint, (explained.get(fingerprint) ?? 0) + 1)
      else own.set(fingerprint, (own.get(fingerprint) ?? new Set()).add(crash))
    }
  }
  const candidates = [...own].map(([fingerprint, crashed]) => (
    { fingerprint, own: crashed, score: crashed.size + EXPLAINED_WEIGHT * (explained.get(fingerprint) ?? 0) }
  ))
  return candidates.sort((left, right) => right.score - left.score || (left.fingerprint < right.fingerprint ? -1 : 1))
}

function isBlamed (candidate: Candidate, candidates: readonly Candidate[], suspected: ReadonlySet<string>): boolean {
  const { fingerprint, score } = candidate
  if (suspected.has(fingerprint) || score >= CRASHES_FOR_SURE) return true
  if (score < MIN_CRASHES) return false
  return !candidates.some((other) => other !== candidate && other.score >= score && sharesCrash(other, candidate))
}

function sharesCrash (left: Candidate, right: Candidate): boolean {
  return [...left.own].some((crash) => right.own.has(crash))
}
