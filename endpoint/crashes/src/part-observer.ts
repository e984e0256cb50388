/**
 * Tells control which suspected parts of prompts run well here, whether or not this process has seen a crash, and judges parts by its own
 * observations while control is unreachable.
 */
import { ThrottledAction } from '@gullwall/core.clock'
import { findPartCauses, nameOfHold, PartEvidence, PartRuns, type KnownRun, type PartAtCrash, type PartRun } from '@gullwall/routing.quarantine'
import { type Message, type MessageOf } from '@gullwall/transport.messages'

/** Shortest interval between two messages about runs, in ms. */
const TELL_INTERVAL_MS = 50
/** Crashes within this time are of one moment, in ms, as in control. */
const ROUND_MS = 150
/** The retention time of a crash that this process has seen, in ms, as in control. */
const CRASH_RETENTION_MS = 10 * 60_000
/** A run that began to write up to this time before the first crash, in ms, still shows that the part runs well: runs overlap crashes. */
const RUN_SLACK_MS = 1000

/** A link to control. */
export interface ControlLink {
  send: (message: Message) => boolean
}

export interface PartObserverOptions {
  /** The open links to control. */
  links: () => Iterable<ControlLink>
  /** Returns the quarantined parts, among some, that a run of an organisation which began to write at this time may release. */
  findReleasable: (parts: readonly string[], organisation: string, beganAt: number) => string[]
  now?: () => number
}

export class PartObserver {
  private readonly runs = new PartRuns()
  /** The suspects that each control process has told last, with the time of their first crash. */
  private readonly suspects = new Map<ControlLink, ReadonlyMap<string, number>>()
  /** Runs to tell, by part and organisation. */
  private untold = new Map<string, KnownRun & { isReleasing: boolean }>()
  private readonly telling = new ThrottledAction(() => TELL_INTERVAL_MS, () => this.tellRuns())
  private readonly ownEvidence = new PartEvidence()
  /** When each crash in the own evidence was seen. */
  private readonly ownCrashes = new Map<string, number>()
  private roundBeganAt = -Infinity
  private ownDecision: { version: number, held: ReadonlySet<string> } | undefined
  private readonly now: () => number

  constructor (private readonly options: PartObserverOptions) {
    this.now = options.now ?? (() => performance.now())
  }

  stop (): void {
    this.telling.stop()
  }

  /** Records that a request with some parts ran well at an endpoint, and when it began to write. */
  recordRun (parts: readonly string[], organisation: string, beganAt: number): void {
    if (parts.length === 0) return
    this.runs.record(parts, organisation, beganAt)
    this.recordOwnRun(parts, organisation, beganAt)
    const releasable = this.options.findReleasable(parts, organisation, beganAt)
    for (const part of parts) {
      const isReleasing = releasable.includes(part)
      if (isReleasing || this.isSuspected(part)) this.untold.set(`${part} ${organisation}`, { part, organisation, beganAt, isReleasing })
    }
    if (this.untold.size > 0) this.telling.request()
  }

  /** Records the parts that were running at a crash. */
  recordCrash (endpoint: string, parts: PartAtCrash[]): void {
    const now = this.now()
    if (now - this.roundBeganAt > ROUND_MS) {
      this.roundBeganAt = now
      this.ownEvidence.beginRound()
    }
    const expired = [...this.ownCrashes].filter(([, at]) => now - at > CRASH_RETENTION_MS).map(([known]) => known)
    for (const known of expired) this.ownCrashes.delete(known)
    if (expired.length > 0) this.ownEvidence.forgetCrashes(expired)
    if (!this.ownCrashes.has(endpoint)) this.ownCrashes.set(endpoint, now)
    this.ownEvidence.recordCrashes([{ endpoint, parts }])
  }

  /** Receives the suspects of a control process, and tells it what is known of them here. */
  receiveSuspects (link: ControlLink, { suspects }: Pick<MessageOf<'suspectParts'>, 'suspects'>): void {
    const now = this.now()
    const since = new Map(suspects.map(({ part, sinceMs }) => [part, now - sinceMs]))
    this.suspects.set(link, since)
    const known = this.runs.find(new Set(since.keys()))
    if (known.length > 0) link.send({ kind: 'partRuns', runs: known.map((run) => toPartRun(run, since.get(run.part))) })
  }

  /** Forgets the suspects of a control process whose link has closed. */
  forgetLink (link: ControlLink): void {
    this.suspects.delete(link)
  }

  /** The quarantines by the observations of this process alone, by name; for use while control is unreachable. */
  get ownHeldNames (): ReadonlySet<string> {
    const { version } = this.ownEvidence
    if (this.ownDecision?.version !== version) {
      const { held } = findPartCauses({
        evidence: this.ownEvidence,
        held: [],
        isExplainedByRequest: () => false,
        agesOf: () => ({ suspectMs: Infinity, candidateMs: Infinity })
      })
      this.ownDecision = { version, held: new Set(held.map(nameOfHold)) }
    }
    return this.ownDecision.held
  }

  private recordOwnRun (parts: readonly string[], organisation: string, beganAt: number): void {
    if (this.ownCrashes.size === 0) return
    const suspects = new Map(this.ownEvidence.findSuspects().map(({ part, firstCrash }) => [part, this.ownCrashes.get(firstCrash) ?? 0]))
    const runs = parts.filter((part) => suspects.has(part))
      .map((part) => toPartRun({ part, organisation, beganAt }, suspects.get(part)))
    if (runs.length > 0) this.ownEvidence.recordRuns(runs, NONE)
  }

  private isSuspected (part: string): boolean {
    for (const suspects of this.suspects.values()) if (suspects.has(part)) return true
    return false
  }

  private tellRuns (): void {
    const untold = [...this.untold.values()]
    this.untold = new Map()
    for (const link of this.options.links()) {
      const suspects = this.suspects.get(link)
      const runs = untold.filter(({ part, isReleasing }) => isReleasing || suspects?.has(part) === true)
        .map((run): PartRun => run.isReleasing ? { ...toPartRun(run, 0), isRecent: true } : toPartRun(run, suspects?.get(run.part)))
      if (runs.length > 0) link.send({ kind: 'partRuns', runs })
    }
  }
}

const NONE: ReadonlySet<string> = new Set()

function toPartRun ({ part, organisation, beganAt }: KnownRun, firstCrashAt = Infinity): PartRun {
  return { part, organisation, isRecent: beganAt >= firstCrashAt - RUN_SLACK_MS }
}
