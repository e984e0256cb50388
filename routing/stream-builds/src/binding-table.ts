/**
 * The bindings of streams that callers may take up again. It has no timers: each record removes some that have expired, so that the
 * table holds at most about twice the valid ones while streams begin.
 */
import { isSameBuild, type BuildBinding } from './binding.ts'

/** Number of records that are checked for expiry with each new one. */
const SWEEP_SIZE = 2
/** Upper limit of the records; the oldest gives way. A control process of the largest deployment holds some 80,000. */
const DEFAULT_MAX_RECORDS = 400_000

/** Two streams have the same name, so that it does not tell which build began either. */
export const AMBIGUOUS = 'ambiguous'

export interface BindingRecord {
  key: string
  binding: BuildBinding
  /** For how much longer the caller may come back, in ms. */
  validMs: number
}

interface HeldRecord {
  binding: BuildBinding | typeof AMBIGUOUS
  /** Until when it is valid, by the monotonic clock. */
  validUntil: number
}

export interface BindingTableOptions {
  maxRecords?: number
  /** The monotonic clock, in ms. */
  now?: () => number
}

export class BindingTable {
  private readonly records = new Map<string, HeldRecord>()
  private readonly maxRecords: number
  private readonly now: () => number
  /** Position of the sweep. */
  private sweep: Iterator<[string, HeldRecord]> | undefined

  constructor ({ maxRecords = DEFAULT_MAX_RECORDS, now = () => performance.now() }: BindingTableOptions = {}) {
    this.maxRecords = maxRecords
    this.now = now
  }

  get size (): number {
    return this.records.size
  }

  /** Records a binding. Records of the same stream may arrive again, late, and in any order. */
  record ({ key, binding, validMs }: BindingRecord): void {
    const now = this.now()
    this.removeExpired(now)
    const known = this.valid(key, now)
    const validUntil = Math.max(known?.validUntil ?? -Infinity, now + validMs)
    this.records.set(key, { binding: known === undefined ? binding : merge(known.binding, binding), validUntil })
    const [oldest] = this.records.keys()
    if (this.records.size > this.maxRecords && oldest !== undefined) this.records.delete(oldest)
  }

  /** Returns the binding of a stream; undefined if it is not known. */
  find (key: string): BuildBinding | typeof AMBIGUOUS | undefined {
    return this.valid(key, this.now())?.binding
  }

  /** Returns all records that are valid and not ambiguous, with the time that remains to them. */
  * valids (): Generator<BindingRecord> {
    const now = this.now()
    for (const [key, { binding, validUntil }] of this.records) {
      if (validUntil > now && binding !== AMBIGUOUS) yield { key, binding, validMs: validUntil - now }
    }
  }

  private valid (key: string, now: number): HeldRecord | undefined {
    const record = this.records.get(key)
    return record !== undefined && record.validUntil > now ? record : undefined
  }

  private removeExpired (now: number): void {
    for (let count = 0; count < SWEEP_SIZE; count += 1) {
      this.sweep ??= this.records.entries()
      const { done, value } = this.sweep.next()
      if (done === true) {
        this.sweep = undefined
        return
      }
      const [key, { validUntil }] = value
      if (validUntil <= now) this.records.delete(key)
    }
  }
}

/** The binding that names the build holds; two that differ exclude each other. */
function merge (known: BuildBinding | typeof AMBIGUOUS, told: BuildBinding): BuildBinding | typeof AMBIGUOUS {
  if (known === AMBIGUOUS || !isSameBuild(known, told)) return AMBIGUOUS
  return known.build === undefined ? told : known
}
