/** The windows in which usage is counted: window k begins k times its length after the start of 1970. */

/** The number of the window that holds a moment, both in ms since the start of 1970. */
export function windowAt (wallMs: number, windowMs: number): number {
  return Math.floor(wallMs / windowMs)
}

/** When a window ends, in ms since the start of 1970. */
export function endOfWindow (window: number, windowMs: number): number {
  return (window + 1) * windowMs
}

/**
 * The time of day that goes on evenly: it is read once and continued by the monotonic clock, so that a step of the time of
 * day neither counts a request twice nor skips a window.
 */
export class SteadyWallClock {
  private readonly offsetMs = Date.now() - performance.now()

  /** The time of day at a moment of the monotonic clock, in ms since the start of 1970. */
  at (monotonicMs: number): number {
    return monotonicMs + this.offsetMs
  }

  now (): number {
    return this.at(performance.now())
  }
}
