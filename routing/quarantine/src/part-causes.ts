/**
 * Identifies the parts of prompts that crash endpoints. Presence at crashes alone shows little, since parts are shared: the first part of
 * a prompt is often that of a whole route. A part is only a candidate as long as no request with it has run well since.
 */
import { type PartEvidence, type PartCrashEvidence, type PartPresence } from './part-evidence.ts'
import { nameOfHold, type HeldPart } from './prompt-parts.ts'

/** Number of crashes from which a part is quarantined that has not run well since. */
export const CONCLUSIVE_PART_CRASHES = 5
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

interface Candidate extends Scope {
  crashes: ReadonlySet<string>
  /** Whether it is known to have run well, for any organisation. */
  wasServed: boolean
  /** Whether it was the first part of a prompt. */
  isFirstPart: boolean
}

/** Returns the further parts to quarantine. The result does not depend on the order of the crashes. */
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
  const presences = new Map<string, Array<{ crash: PartCrashEvidence, presence: PartPresence }>>()
  for (const crash of evidence.crashes) {
    const explanations = new Set([...crash.parts].filter(([part, presence]) => isHeld(part, presence)).map(([part]) => part))
    for (const [part, presence] of crash.parts) {
      // A part that is quarantined for one organisation may crash endpoints under another one as well.
      const isExplained = [...explanations].some((other) => other !== part)
      if (!isExplained && !names.has(part)) presences.set(part, [...presences.get(part) ?? [], { crash, presence }])
    }
  }
  return [...presences].flatMap(([part, at]) => {
    const organisations = new Set(at.flatMap(({ presence }) => [...presence.organisations]))
    const scopes: Scope[] = [...organisations].map((organisation) => ({ part, organisation }))
    const forAll = createCandidate({ part, organisation: undefined }, at.filter(({ presence }) => presence.isUnserved), options)
    if (organisations.size >= MIN_ORGANISATIONS && forAll !== undefined) return [forAll]
    return scopes.filter((scope) => !names.has(nameOfHold(scope))).flatMap((scope) => (
      createCandidate(scope, at.filter(({ presence }) => presence.organisations.has(scope.organisation ?? '')), options) ?? []
    ))
  })
}

function createCandidate (
  { part, organisation }: Scope, at: ReadonlyArray<{ crash: PartCrashEvidence, presence: PartPresence }>, options: PartCauseOptions
): Candidate | undefined {
  const rounds = new Set(at.map(({ crash }) => crash.round))
  const outside = at.filter(({ crash }) => !options.isExplainedByRequest(crash.endpoint))
  if (at.length < CONCLUSIVE_PART_CRASHES || rounds.size < MIN_ROUNDS || outside.length < MIN_OUTSIDE_HELD_REQUESTS) return undefined
  return {
    part,
    organisation,
    crashes: new Set(at.map(({ crash }) => crash.endpoint)),
    // What runs well for others is less likely the cause than another part of the same requests.
    wasServed: options.evidence.wasServed(part),
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
  const isDecided = rivals.length === 1 && !best.wasServed
  if (rivals.some(({ part }) => agesOf(part).suspectMs < MIN_SUSPECT_MS)) return []
  if (!isDecided && rivals.some(({ part }) => agesOf(part).candidateMs < UNDECIDED_MS)) return []
  const deeper = rivals.filter(({ isFirstPart }) => !isFirstPart)
  return deeper.length > 0 ? deeper : rivals
}

function sharesCrash (left: Candidate, right: Candidate): boolean {
  return [...left.crashes].some((endpoint) => right.crashes.has(endpoint))
}
