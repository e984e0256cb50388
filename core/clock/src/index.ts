/**
 * Notices suspensions of the box. All durations go by the steady clock, which stands still meanwhile: what was leased or
 * granted for a second, or is due in one, would seem to hold on for as long after a suspension as before it. The runtime
 * offers no clock that counts suspensions, so the time of day beside the steady clock has to tell: where it runs ahead, the
 * box has slept, or its time of day was set forward. The two can't be told apart here. So what this module tells may
 * only make a process believe less: end a lease, a grant, or the time that a request has left, and never shorten a wait.
 */

export * from './throttled-action.ts'

/** The two clocks, in ms. */
export interface Clocks {
  steady: () => number
  /** Time of day, Unix ms. */
  wall: () => number
}

const SYSTEM_CLOCKS: Clocks = { steady: () => performance.now(), wall: () => Date.now() }
/** A time of day that runs ahead by less between two looks is being adjusted, or rounded, in ms. */
const LEAST_MS = 100

export class SuspensionWatch {
  private sleptMs = 0
  private ahead: number

  constructor (private readonly clocks: Clocks = SYSTEM_CLOCKS) {
    this.ahead = clocks.wall() - clocks.steady()
  }

  /** For how long this process seems to have been suspended since it began, in ms; never less than before. */
  suspendedMs (): number {
    const ahead = this.clocks.wall() - this.clocks.steady()
    const gained = ahead - this.ahead
    if (gained >= LEAST_MS) this.sleptMs += gained
    // Small gains are kept in view, so that many of them still add up; a time of day that is set back is followed.
    if (gained >= LEAST_MS || gained < 0) this.ahead = ahead
    return this.sleptMs
  }
}

/** The watch of this process. */
export const suspensions = new SuspensionWatch()
