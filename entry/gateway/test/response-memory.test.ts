/** Guards against large responses that take the memory of the process together, although each of them is within its bound. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { ResponseMemory, type KeptBytes } from '../src/response-memory.ts'

const MAX_BYTES = 1_000_000
const SMALL_BYTES = 1000

let memory: ResponseMemory

function open () {
  let isPaused = false
  const response = {
    isPaused: () => isPaused,
    pause: vi.fn(() => { isPaused = true }),
    resume: vi.fn(() => { isPaused = false }),
    breakOff: vi.fn()
  }
  return { response, kept: memory.open(response) }
}

function fill (kept: KeptBytes, bytes: number): void {
  kept.update(kept.bytes + bytes)
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] })
  memory = new ResponseMemory(MAX_BYTES)
})
afterEach(() => { vi.useRealTimers() })

describe('when the responses together are beyond the bound', () => {
  it('only the largest goes on, and the others go on once it has ended', () => {
    const [first, second] = [open(), open()]
    fill(first.kept, 400_000)
    fill(second.kept, 500_000)
    fill(first.kept, 50_000)
    expect(first.response.pause).not.toHaveBeenCalled()
    fill(second.kept, 100_000)
    expect(second.response.pause).not.toHaveBeenCalled()
    fill(first.kept, 10_000)
    expect(first.response.pause).toHaveBeenCalledOnce()
    second.kept.release()
    expect(first.response.resume).toHaveBeenCalledOnce()
    expect(memory.totalBytes).toBe(460_000)
  })

  it('a small one is never paused', () => {
    const [large, small] = [open(), open()]
    fill(large.kept, MAX_BYTES + 1)
    fill(small.kept, SMALL_BYTES)
    expect(small.response.pause).not.toHaveBeenCalled()
  })

  it('the largest is broken off if it does not end in time, and then the next one', () => {
    const [first, second] = [open(), open()]
    fill(first.kept, 900_000)
    fill(second.kept, 800_000)
    expect(second.response.pause).toHaveBeenCalledOnce()
    vi.advanceTimersByTime(900)
    expect(first.response.breakOff).not.toHaveBeenCalled()
    vi.advanceTimersByTime(200)
    expect(first.response.breakOff).toHaveBeenCalledOnce()
    expect(second.response.breakOff).not.toHaveBeenCalled()
    expect(second.response.resume).toHaveBeenCalledOnce()
    fill(second.kept, 300_000)
    const third = open()
    fill(third.kept, 300_000)
    vi.advanceTimersByTime(100)
    expect(second.response.breakOff).toHaveBeenCalledOnce()
    expect(third.response.breakOff).not.toHaveBeenCalled()
  })

  it('the largest is not broken off if no other waits for it', () => {
    const [large, small] = [open(), open()]
    fill(large.kept, 2 * MAX_BYTES)
    fill(small.kept, SMALL_BYTES)
    vi.advanceTimersByTime(5000)
    expect(large.response.breakOff).not.toHaveBeenCalled()
  })

  it('none is broken off that ends in time', () => {
    const { response, kept } = open()
    fill(kept, 2 * MAX_BYTES)
    fill(open().kept, 200_000)
    vi.advanceTimersByTime(900)
    kept.release()
    vi.advanceTimersByTime(2000)
    expect(response.breakOff).not.toHaveBeenCalled()
    expect(memory.totalBytes).toBe(200_000)
  })
})
