/**
 * The start-up phase, in which the document and the leases have not arrived yet. The process already reports itself ready to the
 * load balancer and holds the requests that arrive: a load balancer that checks readiness once a second would otherwise
 * lose a second, although most starts take a quarter of one.
 */

/** The start-up phase ends after this time, in ms: longer than a process usually takes to become ready (150 to 450 ms). */
export const START_UP_MS = 800
/** The longest time for which a request is held, in ms. */
export const MAX_HOLD_MS = 500

/** Returns until when a request is held while the process is not ready. All times are in ms by the monotonic clock. */
export function holdDeadline (arrivedAt: number, startedAt: number): number {
  return Math.min(arrivedAt + MAX_HOLD_MS, startedAt + START_UP_MS)
}

/** Whether requests that arrive now are held rather than refused. */
export function isStartingUp (now: number, startedAt: number): boolean {
  return now < startedAt + START_UP_MS
}
