/** The use of the event loop. */

/** Returns a function that returns the share of the time since its last call, or since its creation, in which the event loop was busy. */
export function createUtilizationMeter (): () => number {
  let latest = performance.eventLoopUtilization()
  return () => {
    const present = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(present, latest)
    latest = present
    return utilization
  }
}
