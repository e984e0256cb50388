/**
 * Identifies the requests that crash endpoints among the requests that were running when endpoints crashed. A crash interrupts
 * all requests at the endpoint, and these are retried together at the next endpoint, possibly beside the cause of the crash.
 * Presence at several crashes is therefore weak evidence, and weaker still if another request explains the crash.
 */

/** The score from which a request is quarantined. Retried requests may be present at two crashes by chance. */
export const MIN_CRASHES = 3
/** Where another request was in as many of the same crashes neither is held yet, but with so many both are. */
const CONCLUSIVE_CRASHES = 5
/** The weight in the score of a crash that another request explains; other crashes count 1. */
const EXPLAINED_WEIGHT = 0.5

/** The fingerprints of the requests that were running at one endpoint when it crashed. */
export type RequestsAtCrash = ReadonlySet<string>

export interface CrashCauseOptions {
  crashes: Iterable<RequestsAtCrash>
  /** Quarantined requests, which explain the crashes they were present at. */
  quarantined: ReadonlySet<string>
  /** Requests released from quarantine, for which one further crash is enough. */
  formerlyQuarantined: ReadonlySet<string>
}

interface Candidate {
  fingerprint: string
  /** Crashes at which it was running and that no other request explains. */
  unexplained: ReadonlySet<RequestsAtCrash>
  score: number
}

/** Returns further requests to quarantine. The result does not depend on the order of the crashes. */
export function findCrashCauses ({ crashes, quarantined, formerlyQuarantined }: CrashCauseOptions): string[] {
  const all = [...crashes]
  const found = new Set<string>()
  const isExplained = (crash: RequestsAtCrash) => [...crash].some((fingerprint) => quarantined.has(fingerprint) || found.has(fingerprint))
  for (;;) {
    const candidates = rankCandidates(all, isExplained)
      .filter(({ fingerprint }) => !quarantined.has(fingerprint) && !found.has(fingerprint))
    const next = candidates.find((candidate) => isCause(candidate, candidates, formerlyQuarantined))
    if (next === undefined) return [...found]
    found.add(next.fingerprint)
  }
}

/** Returns the requests that were running at an unexplained crash, by descending score. */
function rankCandidates (crashes: readonly RequestsAtCrash[], isExplained: (crash: RequestsAtCrash) => boolean): Candidate[] {
  const unexplained = new Map<string, Set<RequestsAtCrash>>()
  const explainedCounts = new Map<string, number>()
  for (const crash of crashes) {
    const hasCause = isExplained(crash)
    for (const fingerprint of crash) {
      if (hasCause) explainedCounts.set(fingerprint, (explainedCounts.get(fingerprint) ?? 0) + 1)
      else unexplained.set(fingerprint, (unexplained.get(fingerprint) ?? new Set()).add(crash))
    }
  }
  const candidates = [...unexplained].map(([fingerprint, ownCrashes]) => (
    { fingerprint, unexplained: ownCrashes, score: ownCrashes.size + EXPLAINED_WEIGHT * (explainedCounts.get(fingerprint) ?? 0) }
  ))
  return candidates.sort((left, right) => right.score - left.score || (left.fingerprint < right.fingerprint ? -1 : 1))
}

function isCause (candidate: Candidate, candidates: readonly Candidate[], formerlyQuarantined: ReadonlySet<string>): boolean {
  const { fingerprint, score } = candidate
  if (formerlyQuarantined.has(fingerprint) || score >= CONCLUSIVE_CRASHES) return true
  if (score < MIN_CRASHES) return false
  return !candidates.some((other) => other !== candidate && other.score >= score && sharesCrash(other, candidate))
}

function sharesCrash (left: Candidate, right: Candidate): boolean {
  return [...left.unexplained].some((crash) => right.unexplained.has(crash))
}
