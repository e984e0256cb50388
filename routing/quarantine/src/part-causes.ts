/**
 * Identifies the parts of prompts that crash endpoints. Presence at crashes alone shows little, since parts are shared: the first part of
 * a prompt is often that of a whole route. A part is only a candidate as long as no request with it has run well since.
 */
import { type PartEvidence, type PartCrashEvidence, type PartPresence } from './part-evidence.ts'
import { nameOfHold, type HeldPart } from './prompt-parts.ts'

/**
 * Number of crashes from which a part is quarantined that has not run well since, if it is at all crashes of its time. It needs more by as
 * much as it is at fewer of them: the others show that endpoints crash for another reason as well.
 */
export const CONCLUSIVE_PART_CRASHES = 5
/** Share of the crashes of its time above which a part is quarantined without waiting for good runs. */
const CLEAR_SHARE = 0.8
/** The weight of a crash with a part that has run well for another organisation since; other crashes count 1. */
const SERVED_ELSEWHERE_WEIGHT = 0.5
/** Number of evaluations among which these crashes must be distributed: endpoints of one rack or data centre crash in one moment. */
const MIN_ROUNDS = 3
/** Number of these crashes at which no request was running that is quarantined as a whole, and which would explain them. */
const MIN_OUTSIDE_HELD_REQUESTS = 2
/** Number of organisations whose requests must have crashed endpoints before a part is quarantined for all. */
const MIN_ORGANISATIONS = 2
/** How long a part must have been a suspect, in ms, so that entries have told whether it runs well. */
const MIN_SUSPECT_MS = 250
/** How long several candidates that cannot be told apart, or one that has run well before, are left in force, in ms. */
const UNDECIDED_MS = 1500

export interface PartCauseOptions {
  evidence: Pick<PartEvidence, 'crashes' | 'wasServed'>
  held: readonly Scope[]
  /** Whether a request that is quarantined as a whole was running at the crash of this incarnation. */
  isExplainedByRequest: (endpoint: string) => boolean
  /** For how long a part has been a suspect, and for how long a candidate, in ms. */
  agesOf: (part: string) => { suspectMs: number, candidateMs: number }
}

export interface PartCauses {
  /** Further parts to quarantine. */
  held: Array<Pick<HeldPart, 'part' | 'organisation' | 'crashes'>>
  /** Parts that are at enough crashes, and may be quarantined later. */
  candidates: string[]
}

type Scope = Pick<HeldPart, 'part' | 'organisation'>

interface Presence {
  crash: PartCrashEvidence
  presence: PartPresence
}

interface Candidate extends Scope {
  crashes: ReadonlySet<string>
  /** Whether it is known to have run well, for any organisation. */
  wasServed: boolean
  /** Whether it is not known to have ever run well, and at nearly all crashes of its time. */
  isClear: boolean
  /** Whether it was the first part of a prompt. */
  isFirstPart: boolean
}

/** Returns the further parts to quarantine. The result does not depend on the order of the crashes of one round. */
export function findPartCauses (options: PartCauseOptions): PartCauses {
  const found: PartCauses['held'] = []
  const open = new Set<string>()
  for (;;) {
    const candidates = findCandidates(options, [...options.held, ...found])
    for (const { part } of candidates) open.add(part)
    const causes = chooseCauses(candidates, options)
    if (causes.length === 0) return { held: found, candidates: [...open] }
    for (const { part, organisation, crashes } of causes) found.push({ part, organisation, crashes: crashes.size })
  }
}

/** Returns the parts that may be the cause of crashes which no quarantined part explains. */
function findCandidates (options: PartCauseOptions, held: readonly Scope[]): Candidate[] {
  const { evidence } = options
  const names = new Set(held.map(nameOfHold))
  const isHeld = (part: string, { organisations }: PartPresence) => (
    names.has(part) || [...organisations].some((organisation) => names.has(nameOfHold({ part, organisation })))
  )
  const presences = new Map<string, Presence[]>()
  const unexplained: PartCrashEvidence[] = []
  for (const crash of evidence.crashes) {
    const explanations = new Set([...crash.parts].filter(([part, presence]) => isHeld(part, presence)).map(([part]) => part))
    if (explanations.size === 0 && !options.isExplainedByRequest(crash.endpoint)) unexplained.push(crash)
    for (const [part, presence] of crash.parts) {
      // A part that is quarantined for one organisation may crash endpoints under another one as well.
      const isExplained = [...explanations].some((other) => other !== part)
      if (isExplained || names.has(part)) continue
      const known = presences.get(part)
      if (known === undefined) presences.set(part, [{ crash, presence }])
      else known.push({ crash, presence })
    }
  }
  return [...presences].flatMap(([part, at]) => {
    const organisations = new Set(at.flatMap(({ presence }) => [...presence.organisations]))
    const scopes: Scope[] = [...organisations].map((organisation) => ({ part, organisation }))
    const createFor = (scope: Scope, ofScope: Presence[]) => createCandidate(scope, { at: ofScope, unexplained }, options)
    const forAll = createFor({ part }, at.filter(({ presence }) => presence.isUnserved))
    if (organisations.size >= MIN_ORGANISATIONS && forAll !== undefined) return [forAll]
    return scopes.filter((scope) => !names.has(nameOfHold(scope))).flatMap((scope) => (
      createFor(scope, at.filter(({ presence }) => presence.organisations.has(scope.organisation ?? ''))) ?? []
    ))
  })
}

interface CandidateCrashes {
  /** The crashes with the part. */
  at: readonly Presence[]
  /** All crashes that nothing quarantined explains. */
  unexplained: readonly PartCrashEvidence[]
}

/** Returns a part as a candidate; undefined if it is at too few crashes. */
function createCandidate (scope: Scope, { at, unexplained }: CandidateCrashes, options: PartCauseOptions): Candidate | undefined {
  const { part, organisation } = scope
  const rounds = new Set(at.map(({ crash }) => crash.round))
  const outside = at.filter(({ crash }) => !options.isExplainedByRequest(crash.endpoint))
  if (rounds.size < MIN_ROUNDS || outside.length < MIN_OUTSIDE_HELD_REQUESTS) return undefined
  const [first, last] = [Math.min(...rounds), Math.max(...rounds)]
  const crashesOfItsTime = unexplained.filter(({ round }) => round >= first && round <= last).length
  // What runs well for others is less likely the cause than another part of the same requests.
  const wasServed = options.evidence.wasServed(part)
  // Crashes that the part itself explains, quarantined for one organisation, are not among the unexplained ones.
  const share = Math.min(1, outside.length / crashesOfItsTime)
  const weight = at.reduce((sum, { presence }) => sum + (presence.isUnserved ? 1 : SERVED_ELSEWHERE_WEIGHT), 0)
  if (weight * share < CONCLUSIVE_PART_CRASHES) return undefined
  return {
    part,
    organisation,
    crashes: new Set(at.map(({ crash }) => crash.endpoint)),
    wasServed,
    isClear: !wasServed && share >= CLEAR_SHARE,
    isFirstPart: at.some(({ presence }) => presence.position === 0)
  }
}

/** Chooses the candidates that are quarantined now: the most likely one, or all that can't be told apart from it. */
function chooseCauses (candidates: readonly Candidate[], { agesOf }: PartCauseOptions): Candidate[] {
  const neverServed = candidates.filter(({ wasServed }) => !wasServed)
  const pool = neverServed.length > 0 ? neverServed : candidates
  const mostCrashes = Math.max(0, ...pool.map(({ crashes }) => crashes.size))
  // Sorted, since the order of the crashes must not decide.
  const [best, ...others] = pool.filter(({ crashes }) => crashes.size === mostCrashes)
    .sort((left, right) => nameOfHold(left) < nameOfHold(right) ? -1 : 1)
  if (best === undefined) return []
  const rivals = [best, ...others.filter((other) => sharesCrash(best, other))]
  const isDecided = rivals.length === 1 && best.isClear
  if (rivals.some(({ part }) => agesOf(part).suspectMs < MIN_SUSPECT_MS)) return []
  if (!isDecided && rivals.some(({ part }) => agesOf(part).candidateMs < UNDECIDED_MS)) return []
  const deeper = rivals.filter(({ isFirstPart }) => !isFirstPart)
  return deeper.length > 0 ? deeper : rivals
}

function sharesCrash (left: Candidate, right: Candidate): boolean {
  return [...left.crashes].some((endpoint) => right.crashes.has(endpoint))
}
