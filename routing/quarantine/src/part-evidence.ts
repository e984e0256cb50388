/**
 * The evidence for and against parts of prompts: the crashes at which they were running, and the runs that went well since. The state is
 * deterministic and has no clock, like the evidence for whole requests.
 */
import { dropOldest } from './drop-oldest.ts'

/** A part that was running at a crash, the organisation of a request with it, and its position in the prompt, from 0. */
export type PartAtCrash = [part: string, organisation: string, position: number]

/** A crash of an endpoint, with the parts of the requests of one box that were running there. */
export interface PartCrash {
  /** The incarnation of the endpoint. */
  endpoint: string
  parts: PartAtCrash[]
}

/** A run of a request with a part that went well. */
export interface PartRun {
  part: string
  organisation: string
  /** Whether it began to write after the first crash that is known. If not, the part may crash endpoints since then. */
  isRecent: boolean
}

/** A part at one crash. */
export interface PartPresence {
  /** The organisations that had requests with it there and that have not run it well since. */
  organisations: Set<string>
  /** Whether no organisation has run it well since. */
  isUnserved: boolean
  position: number
}

export interface PartCrashEvidence {
  endpoint: string
  /** Number of the evaluation that followed the crash. Crashes of one moment have the same one. */
  round: number
  parts: ReadonlyMap<string, PartPresence>
}

interface StoredCrash extends PartCrashEvidence {
  parts: Map<string, PartPresence>
}

/** At this number the oldest crash is dropped, as for whole requests. */
const MAX_CRASHES = 128
/** The number of pairs of part and organisation kept for one crash: the shared parts of 128 requests are fewer. */
const MAX_PAIRS = 256
/** The number of parts of which it is known that they ran well before the crashes; the oldest is dropped. */
const MAX_SERVED = 512
/** A part at fewer crashes is no suspect: at a single crash every part that was running there would be one. */
const MIN_SUSPECT_CRASHES = 2
/** The number of suspects that entries are told; those at most crashes come first. */
const MAX_SUSPECTS = 64

type StoredPresence = [part: string, organisations: string[], isUnserved: boolean, position: number]

/** The evidence as stored in a snapshot. */
export interface PartEvidenceSnapshot {
  round: number
  crashes: Array<{ endpoint: string, round: number, parts: StoredPresence[] }>
  served: Array<[part: string, organisations: string[]]>
  ranWhileHeld: Array<[part: string, organisations: string[]]>
}

export const NO_PART_EVIDENCE: PartEvidenceSnapshot = { round: 0, crashes: [], served: [], ranWhileHeld: [] }

export class PartEvidence {
  /** Counts the changes, so that a reader knows when to look again. */
  version = 0
  private round = 0
  /** By incarnation, oldest crash first. */
  private readonly stored = new Map<string, StoredCrash>()
  /** The organisations of which runs went well, by part; the newest last. */
  private readonly served = new Map<string, Set<string>>()
  private readonly ranWhileHeld = new Map<string, Set<string>>()

  get crashes (): PartCrashEvidence[] {
    return [...this.stored.values()]
  }

  /** Records crashes. Repeated reports change nothing, and reports of several boxes about one crash are merged. */
  recordCrashes (crashes: readonly PartCrash[]): void {
    for (const { endpoint, parts } of crashes) {
      if (parts.length === 0) continue
      const known = this.stored.get(endpoint)
      const crash = known ?? { endpoint, round: this.round, parts: new Map<string, PartPresence>() }
      const hasChanged = addPresences(crash.parts, parts)
      if (known !== undefined && !hasChanged) continue
      this.stored.set(endpoint, crash)
      this.version += 1
    }
    dropOldest(this.stored, MAX_CRASHES)
  }

  /** Records runs that went well. A recent one removes its part from all crashes so far. */
  recordRuns (runs: readonly PartRun[], held: ReadonlySet<string>): void {
    for (const { part, organisation, isRecent } of runs) {
      const known = this.served.get(part) ?? new Set<string>()
      this.served.delete(part)
      this.served.set(part, known.add(organisation))
      if (isRecent && held.has(part)) this.ranWhileHeld.set(part, (this.ranWhileHeld.get(part) ?? new Set()).add(organisation))
      if (isRecent) this.clear(part, organisation)
      this.version += 1
    }
    dropOldest(this.served, MAX_SERVED)
  }

  private clear (part: string, organisation: string): void {
    for (const { parts } of this.stored.values()) {
      const presence = parts.get(part)
      if (presence === undefined) continue
      presence.isUnserved = false
      presence.organisations.delete(organisation)
    }
  }

  /** Whether a part is known to have run well, for an organisation or for any. */
  wasServed (part: string, organisation?: string): boolean {
    const organisations = this.served.get(part)
    return organisations !== undefined && (organisation === undefined || organisations.has(organisation))
  }

  /** Whether a request with a part has run well since the part was quarantined. */
  hasRunWhileHeld (part: string, organisation?: string): boolean {
    const organisations = this.ranWhileHeld.get(part)
    return organisations !== undefined && (organisation === undefined || organisations.has(organisation))
  }

  /** Begins the next round: later crashes are of another moment. */
  beginRound (): void {
    this.round += 1
  }

  /** Drops the crashes of these incarnations. */
  forgetCrashes (endpoints: readonly string[]): void {
    for (const endpoint of endpoints) this.stored.delete(endpoint)
    this.version += 1
  }

  /** Drops all evidence for a part whose quarantine ends. */
  forgetPart (part: string): void {
    for (const { parts } of this.stored.values()) parts.delete(part)
    this.ranWhileHeld.delete(part)
    this.version += 1
  }

  /** Counts the kept crashes at which a part was running. */
  countCrashes (part: string): number {
    return this.crashes.filter(({ parts }) => parts.has(part)).length
  }

  /** Returns the parts that may be the cause of several crashes, those at most crashes first, with the incarnation of the first crash. */
  findSuspects (): Array<{ part: string, firstCrash: string }> {
    const crashes = new Map<string, string[]>()
    for (const { endpoint, parts } of this.stored.values()) {
      for (const [part, { organisations }] of parts) {
        if (organisations.size > 0) crashes.set(part, [...crashes.get(part) ?? [], endpoint])
      }
    }
    return [...crashes].filter(([, endpoints]) => endpoints.length >= MIN_SUSPECT_CRASHES)
      .sort(([, left], [, right]) => right.length - left.length).slice(0, MAX_SUSPECTS)
      .map(([part, endpoints]) => ({ part, firstCrash: endpoints[0] ?? '' }))
  }

  createSnapshot (): PartEvidenceSnapshot {
    const toPairs = (map: ReadonlyMap<string, ReadonlySet<string>>) => (
      [...map].map(([part, names]): [string, string[]] => [part, [...names]])
    )
    return {
      round: this.round,
      crashes: this.crashes.map(({ endpoint, round, parts }) => ({
        endpoint,
        round,
        parts: [...parts].map(([part, { organisations, isUnserved, position }]): StoredPresence => (
          [part, [...organisations], isUnserved, position]
        ))
      })),
      served: toPairs(this.served),
      ranWhileHeld: toPairs(this.ranWhileHeld)
    }
  }

  restore ({ round, crashes, served, ranWhileHeld }: PartEvidenceSnapshot): void {
    for (const map of [this.stored, this.served, this.ranWhileHeld]) map.clear()
    this.round = round
    for (const crash of crashes) {
      const parts = crash.parts.map(([part, names, isUnserved, position]): [string, PartPresence] => (
        [part, { organisations: new Set(names), isUnserved, position }]
      ))
      this.stored.set(crash.endpoint, { ...crash, parts: new Map(parts) })
    }
    for (const [part, names] of served) this.served.set(part, new Set(names))
    for (const [part, names] of ranWhileHeld) this.ranWhileHeld.set(part, new Set(names))
    this.version += 1
  }
}

/** Adds parts to a crash up to the limit; returns whether any was new. */
function addPresences (presences: Map<string, PartPresence>, parts: readonly PartAtCrash[]): boolean {
  let pairCount = [...presences.values()].reduce((sum, { organisations }) => sum + organisations.size, 0)
  let hasChanged = false
  for (const [part, organisation, position] of parts) {
    const presence = presences.get(part)
    if (presence?.organisations.has(organisation) === true || pairCount >= MAX_PAIRS) continue
    // A repeated report must not undo what a good run has cleared since.
    if (presence?.isUnserved === false) continue
    if (presence === undefined) presences.set(part, { organisations: new Set([organisation]), isUnserved: true, position })
    else {
      presence.organisations.add(organisation)
      presence.position = Math.min(presence.position, position)
    }
    pairCount += 1
    hasChanged = true
  }
  return hasChanged
}
