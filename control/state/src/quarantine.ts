/**
 * The requests that are held because endpoints crash under them: the evidence is a part of the replicated state, and each
 * request that is held has a record, which comes into force at every process as operators' records do.
 */
import { type RecordChange, type RecordMap } from '@gullwall/config.records'
import { CrashEvidence } from '@gullwall/routing.quarantine'
import { type ForgetCrashesCommand, type NoteCrashesCommand, type QuarantineResult } from './commands.ts'

const KEY_PREFIX = 'quarantine/'

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

export class Quarantine {
  readonly evidence = new CrashEvidence()

  /** @param put puts a record in force */
  constructor (private readonly put: (change: RecordChange) => void) {}

  note ({ crashes, ranWell }: NoteCrashesCommand): QuarantineResult {
    this.evidence.recordCrashes(crashes)
    return this.apply({ held: [], released: this.evidence.clearRequests(ranWell) })
  }

  judge (): QuarantineResult {
    return this.apply(this.evidence.evaluate())
  }

  forget ({ endpoints, requests }: ForgetCrashesCommand): QuarantineResult {
    this.evidence.forgetCrashes(endpoints)
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
