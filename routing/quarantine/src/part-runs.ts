/** The parts of prompts that ran well at the endpoints of one process lately, so that control can ask for them after crashes. */
import { dropOldest } from './drop-oldest.ts'

/** The number of pairs of part and organisation that are kept; the one that ran least recently is dropped. */
const MAX_PAIRS = 2048

/** A part with which a request of an organisation ran well. */
export interface KnownRun {
  part: string
  organisation: string
  /** When the latest such run began to write, by the monotonic clock. */
  beganAt: number
}

export class PartRuns {
  private readonly runs = new Map<string, KnownRun>()

  get size (): number {
    return this.runs.size
  }

  /** Records a run that went well with some parts. */
  record (parts: readonly string[], organisation: string, beganAt: number): void {
    for (const part of parts) {
      const key = `${part} ${organisation}`
      const known = this.runs.get(key)
      if (known === undefined) this.runs.set(key, { part, organisation, beganAt })
      else {
        // Moves the pair to the end, as the one that ran most recently.
        this.runs.delete(key)
        this.runs.set(key, known)
        known.beganAt = Math.max(known.beganAt, beganAt)
      }
    }
    if (this.runs.size > MAX_PAIRS) dropOldest(this.runs, MAX_PAIRS)
  }

  /** Returns what is known of some parts. */
  find (parts: ReadonlySet<string>): KnownRun[] {
    return [...this.runs.values()].filter(({ part }) => parts.has(part))
  }
}
