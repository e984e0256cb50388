import { beforeEach, describe, expect, it } from 'vitest'
import { ConnectionShedder, WINDOW_MS } from '../src/connection-shedder.ts'

describe('connections that are closed unread', () => {
  let shedder: ConnectionShedder

  beforeEach(() => {
    shedder = new ConnectionShedder()
  })

  const record = (utilization: number, windows: number) => {
    for (let window = 0; window < windows; window += 1) shedder.recordUtilization(utilization)
  }
  const closedOf = (count: number) => Array.from({ length: count }, () => shedder.shouldClose()).filter(Boolean).length

  it('are none while the event loop has pauses', () => {
    record(0.95, 20)
    expect(closedOf(100)).toBe(0)
  })

  it('are more with each window without a pause, but never all', () => {
    record(1, 1)
    expect(closedOf(100)).toBe(25)
    record(1, 1)
    expect(closedOf(100)).toBe(50)
    record(1, 10)
    expect(closedOf(100)).toBe(85)
  })

  it('are fewer again once there is time for more', () => {
    record(1, 5)
    record(0.95, 5)
    expect(closedOf(100)).toBe(85)
    record(0.5, 9)
    expect(closedOf(100)).toBe(0)
  })

  it('leave as much work as the process has time for, within three seconds', () => {
    // Each accepted connection costs 6 ms, each closed one 0.2 ms, and 400 a second arrive.
    const arrived = 400 * WINDOW_MS / 1000
    let backlogMs = 0
    let busyMs = 0
    for (let now = 0; now < 10_000; now += WINDOW_MS) {
      const closed = closedOf(arrived)
      const workMs = backlogMs + (arrived - closed) * 6 + closed * 0.2
      if (now >= 3000) busyMs += Math.min(WINDOW_MS, workMs)
      backlogMs = Math.max(0, workMs - WINDOW_MS)
      shedder.recordUtilization(Math.min(1, workMs / WINDOW_MS))
    }
    expect(busyMs).toBeGreaterThan(0.75 * 7000)
    expect(backlogMs).toBeLessThan(1000)
  })
})
