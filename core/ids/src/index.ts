/** Identifiers that never repeat, and the monotonic clock. */
import { randomBytes } from 'node:crypto'

const START_ID_BYTES = 8

/** The identity of one start of a process; a restarted process has another one. */
export function newStartId (): string {
  return randomBytes(START_ID_BYTES).toString('hex')
}

/** Gives identifiers that do not repeat across restarts: the start's identity and a counter. */
export class IdSequence {
  private counter = 0

  constructor (private readonly startId: string, private readonly prefix: string) {}

  next (): string {
    this.counter += 1
    return `${this.prefix}-${this.startId}-${this.counter.toString(36)}`
  }
}

/** Monotonic time in ms. Wall-clock time is for logs only. */
export function monotonicMs (): number {
  return performance.now()
}
