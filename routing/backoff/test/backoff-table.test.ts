import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { BackoffTable, UNRESTRICTED_PERMIT, type BackoffPermit } from '../src/index.ts'

interface Transition {
  endpoint: string
  event: string
}

const transitions: Transition[] = []
let availabilityCalls = 0
let table: BackoffTable

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  transitions.length = 0
  availabilityCalls = 0
  table = new BackoffTable({
    onPermitsAvailable: () => { availabilityCalls += 1 },
    onTransition: (endpoint, { event }) => transitions.push({ endpoint, event })
  })
})
afterEach(() => {
  table.stop()
  vi.useRealTimers()
})

/** Acquires all permits that are available for endpoint `a`. */
function acquireAll (): BackoffPermit[] {
  const permits: BackoffPermit[] = []
  for (let permit = table.acquire('a'); permit !== undefined && permits.length < 100; permit = table.acquire('a')) permits.push(permit)
  return permits
}

describe('an endpoint that requested a backoff', () => {
  it('receives no request until the longest backoff has ended, and its end is reported once', () => {
    table.recordBackoff('a', 3000)
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(2900)
    expect({ remainingMs: table.remainingMs('a'), available: table.availablePermits('a'), permit: table.acquire('a') }).toEqual({ remainingMs: 100, available: 0, permit: undefined })
    expect(table.findBlockReason('a')).toBe('a requested a backoff; 0.1 s remain')
    expect({ available: table.availablePermits('b'), permit: table.acquire('b') }).toEqual({ available: Infinity, permit: UNRESTRICTED_PERMIT })
    vi.advanceTimersByTime(110)
    expect({ remainingMs: table.remainingMs('a'), available: table.availablePermits('a') }).toEqual({ remainingMs: 0, available: 1 })
    expect(transitions).toEqual([{ endpoint: 'a', event: 'began' }, { endpoint: 'a', event: 'ended' }])
    expect(availabilityCalls).toBe(1)
  })

  it('is not limited by a backoff of 0 s', () => {
    table.recordBackoff('a', 0)
    expect({ size: table.size, available: table.availablePermits('a') }).toEqual({ size: 0, available: Infinity })
  })

  it('may receive 1, 2, 4 and 8 requests at a time during the slow start, and any number afterwards', () => {
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(1001)
    const windows = []
    while (table.size > 0) {
      const permits = acquireAll()
      windows.push(permits.length)
      permits.forEach(({ recordResponse, release }, index) => {
        if (index === 0) recordResponse()
        release()
      })
    }
    expect(windows).toEqual([1, 2, 4, 8])
    expect(table.acquire('a')).toBe(UNRESTRICTED_PERMIT)
  })

  it('receives one request at a time until it has responded to one, also after a second backoff', () => {
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(1001)
    expect(acquireAll()).toHaveLength(1)
    expect(table.findBlockReason('a')).toBe('a is in slow start after a backoff, and its window is full')
    expect(acquireAll()).toHaveLength(0)
    table.recordBackoff('a', 500)
    vi.advanceTimersByTime(501)
    const [permit] = acquireAll()
    permit?.release()
    expect(acquireAll()).toHaveLength(1)
  })

  it('reports the end of a second backoff that begins during the slow start on time', () => {
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(1001)
    table.recordBackoff('a', 500)
    availabilityCalls = 0
    vi.advanceTimersByTime(502)
    expect(availabilityCalls).toBe(1)
    expect(transitions.map(({ event }) => event)).toEqual(['began', 'ended', 'began', 'ended'])
  })

  it('is no longer tracked ten seconds after the backoff if no request was sent', () => {
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(11_100)
    expect(table.size).toBe(0)
  })

  it('is not tracked after its backoff is dropped', () => {
    table.recordBackoff('a', 5000)
    table.forget('a')
    expect(table.availablePermits('a')).toBe(Infinity)
    vi.advanceTimersByTime(6000)
    expect(transitions.filter(({ event }) => event === 'ended')).toEqual([])
  })
})

describe('the backoff table', () => {
  it('keeps a bounded number of endpoints and drops the oldest', () => {
    for (let index = 0; index < 20_000; index += 1) table.recordBackoff(`e-${index}`, 60_000)
    expect(table.size).toBe(16_384)
    expect(table.remainingMs('e-19999')).toBeGreaterThan(0)
  })

  it('grants no permit during a backoff, and unrestricted permits again some time after it', () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant('request' as const), ms: fc.integer({ min: 0, max: 4000 }) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 3000 }) }),
      fc.record({ type: fc.constant('acquire' as const), isAnswered: fc.boolean(), isReleased: fc.boolean() })
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      table.forget('a')
      let until = 0
      const pendingReleases: Array<() => void> = []
      for (const next of steps) {
        if (next.type === 'request') {
          table.recordBackoff('a', next.ms)
          if (next.ms > 0) until = Math.max(until, performance.now() + next.ms)
        } else if (next.type === 'wait') {
          vi.advanceTimersByTime(next.ms)
        } else {
          const permit = table.acquire('a')
          if (permit !== undefined) expect(performance.now()).toBeGreaterThanOrEqual(until)
          if (next.isAnswered) permit?.recordResponse()
          if (next.isReleased) permit?.release()
          else if (permit !== undefined) pendingReleases.push(permit.release)
        }
      }
      for (const release of pendingReleases) release()
      vi.advanceTimersByTime(30_000)
      expect(table.acquire('a')).toBe(UNRESTRICTED_PERMIT)
      expect(table.size).toBe(0)
    }), { numRuns: 300 })
  })
})
