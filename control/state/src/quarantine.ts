/**
 * The requests and parts of prompts that are held because endpoints crash under them: the evidence is a part of the replicated state, and
 * each request or part that is held has a record, which comes into force at every process as operators' records do.
 *
 * Requests are judged by every replica. Parts are judged by the leader, whose result is an entry of the log (`apply`): replicas of a build
 * that does not know of parts have no evidence for them, but the same records and revision.
 */
import { type RecordChange, type RecordMap } from '@gullwall/config.records'
import { CrashEvidence, nameOfHold, PartEvidence, type HeldPart, type PartCrash } from '@gullwall/routing.quarantine'
import { type ForgetCrashesCommand, type NoteCrashesCommand, type QuarantineResult } from './commands.ts'

const KEY_PREFIX = 'quarantine/'
const PART_KEY_PREFIX = 'quarantined-part/'

/** What the record of a held request says. */
export interface HeldRequest {
  /** In how many crashes it was running when it was held. */
  crashes: number
}

/** Why a request may not run; undefined if it is not held. */
export function whyHeld (records: RecordMap, fingerprint: string): string | undefined {
  const text = records.text(KEY_PREFIX + fingerprint)
  if (text === undefined) return undefined
  return `${(JSON.parse(text) as HeldRequest).crashes} endpoints crashed while this request was running there`
}

/** The fingerprints of all held requests. */
export function heldRequestsIn (records: RecordMap): Set<string> {
  const keys = [...records.entries()].map(([key]) => key).filter((key) => key.startsWith(KEY_PREFIX))
  return new Set(keys.map((key) => key.slice(KEY_PREFIX.length)))
}

/** The change that puts the record of a held part in force. */
export function changeToHold (held: HeldPart): RecordChange {
  return { key: PART_KEY_PREFIX + nameOfHold(held), value: JSON.stringify(held) }
}

/** The change that ends the hold of a part. */
export function changeToRelease (held: Pick<HeldPart, 'part' | 'organisation'>): RecordChange {
  return { key: PART_KEY_PREFIX + nameOfHold(held), value: null }
}

/** All held parts, by the names of their holds. */
export function heldPartsIn (records: RecordMap): Map<string, HeldPart> {
  const held = new Map<string, HeldPart>()
  for (const [key, text] of records.entries()) {
    if (key.startsWith(PART_KEY_PREFIX)) held.set(key.slice(PART_KEY_PREFIX.length), JSON.parse(text) as HeldPart)
  }
  return held
}

/** Whether a change holds a part or ends its hold. */
export function isPartChange ({ key }: RecordChange): boolean {
  return key.startsWith(PART_KEY_PREFIX)
}

export class Quarantine {
  readonly evidence = new CrashEvidence()
  readonly partEvidence = new PartEvidence()

  /**
   * @param put puts a record in force
   * @param records all records in force
   */
  constructor (private readonly put: (change: RecordChange) => void, private readonly records: () => RecordMap) {}

  note ({ crashes, ranWell, partRuns = [] }: NoteCrashesCommand): QuarantineResult {
    this.evidence.recordCrashes(crashes)
    this.partEvidence.recordCrashes(crashes.filter((crash): crash is typeof crash & PartCrash => crash.parts !== undefined))
    if (partRuns.length > 0) this.partEvidence.recordRuns(partRuns, this.heldPartNames())
    return this.apply({ held: [], released: this.evidence.clearRequests(ranWell) })
  }

  judge (): QuarantineResult {
    this.partEvidence.beginRound()
    return this.apply(this.evidence.evaluate())
  }

  /** Drops the evidence for parts whose hold ends with these changes, which are about to be applied. */
  forgetReleasedParts (changes: readonly RecordChange[]): void {
    for (const change of changes) {
      if (change.value !== null || !isPartChange(change)) continue
      const text = this.records().text(change.key)
      if (text !== undefined) this.partEvidence.forgetPart((JSON.parse(text) as HeldPart).part)
    }
  }

  private heldPartNames (): Set<string> {
    return new Set([...heldPartsIn(this.records()).values()].map(({ part }) => part))
  }

  forget ({ endpoints, requests, keepsParts = false }: ForgetCrashesCommand): QuarantineResult {
    this.evidence.forgetCrashes(endpoints)
    if (!keepsParts) this.partEvidence.forgetCrashes(endpoints)
    return this.apply({ held: [], released: this.evidence.releaseRequests(requests) })
  }

  private apply (result: QuarantineResult): QuarantineResult {
    for (const fingerprint of result.held) {
      const held: HeldRequest = { crashes: this.evidence.countCrashes(fingerprint) }
      this.put({ key: KEY_PREFIX + fingerprint, value: JSON.stringify(held) })
    }
    for (const fingerprint of result.released) this.put({ key: KEY_PREFIX + fingerprint, value: null })
    return result
  }
}
