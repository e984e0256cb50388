/**
 * The time right after a start, in which the document and the leases are about to come. The balancer is told that the
 * process takes requests, and what arrives is held until they are there: a balancer that asks each second and is told "not
 * yet" would come back a second later, though most starts take a quarter of one.
 */

/** A process that has just started is ready after about so long, in ms (measured: 150 to 450); requests wait for it. */
export const START_UP_MS = 800
/** A request waits so long at most, in ms. */
export const MAX_HOLD_MS = 500

/** Until when a request that has arrived is held for a process that is not ready, both by the monotonic clock. */
export function holdDeadline (arrivedAt: number, startedAt: number): number {
  return Math.min(arrivedAt + MAX_HOLD_MS, startedAt + START_UP_MS)
}

/** Whether requests are held at this moment rather than refused. */
export function isStartingUp (now: number, startedAt: number): boolean {
  return now < startedAt + START_UP_MS
}
