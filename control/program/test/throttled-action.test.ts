import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { ThrottledAction } from '../src/throttled-action.ts'

const SPACING_MS = 40

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

it('runs soon after a pause, once for all requests, and keeps its spacing', () => {
  let runs = 0
  const action = new ThrottledAction(() => SPACING_MS, () => { runs += 1 })
  for (let request = 0; request < 5; request += 1) action.request()
  vi.advanceTimersByTime(1)
  expect(runs).toBe(1)
  for (let request = 0; request < 5; request += 1) action.request()
  vi.advanceTimersByTime(SPACING_MS / 2)
  expect(runs).toBe(1)
  vi.advanceTimersByTime(SPACING_MS)
  expect(runs).toBe(2)
  action.request()
  action.stop()
  vi.advanceTimersByTime(2 * SPACING_MS)
  expect(runs).toBe(2)
})
