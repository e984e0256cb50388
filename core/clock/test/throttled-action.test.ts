import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { ThrottledAction } from '@gullwall/core.clock'

const INTERVAL_MS = 40

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

it('runs at once after a pause, runs once for all requests, and keeps the interval between runs', () => {
  let runs = 0
  const action = new ThrottledAction(() => INTERVAL_MS, () => { runs += 1 })
  for (let request = 0; request < 5; request += 1) action.request()
  vi.advanceTimersByTime(1)
  expect(runs).toBe(1)
  for (let request = 0; request < 5; request += 1) action.request()
  vi.advanceTimersByTime(INTERVAL_MS / 2)
  expect(runs).toBe(1)
  vi.advanceTimersByTime(INTERVAL_MS)
  expect(runs).toBe(2)
  action.request()
  action.stop()
  vi.advanceTimersByTime(2 * INTERVAL_MS)
  expect(runs).toBe(2)
})
