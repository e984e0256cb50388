/** Endpoints that asked to be left alone, and the slow start after it. */
import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { BackoffTable, UNRESTRICTED_PERMIT, type BackoffPermit } from '../src/index.ts'

interface Turn {
  endpoint: string
  event: string
}

const turns: Turn[] = []
let rooms = 0
let table: BackoffTable

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  turns.length = 0
  rooms = 0
  table = new BackoffTable(
    { onPermitsAvailable: () => { rooms += 1 }, onTransition: (endpoint, { event }) => turns.push({ endpoint, event }) }
  )
})
afterEach(() => {
  table.stop()
  vi.useRealTimers()
})

/** Takes as many permits as there are. */
function acquireAll (): BackoffPermit[] {
  const permits: BackoffPermit[] = []
  for (let permit = table.acquire('a'); permit !== undefined && permits.length < 100; permit = table.acquire('a')) permits.push(permit)
  return permits
}

describe('an endpoint that asked to be left alone', () => {
  it('gets nothing until its time has passed, and is told of once', () => {
    table.recordBackoff('a', 3000)
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(2900)
    expect({ left: table.remainingMs('a'), room: table.availablePermits('a'), permit: table.acquire('a') }).toEqual({ left: 100, room: 0, permit: undefined })
    expect(table.findBlockReason('a')).toBe('a wants nothing for 0.1 s more')
    expect({ room: table.availablePermits('b'), permit: table.acquire('b') }).toEqual({ room: Infinity, permit: UNRESTRICTED_PERMIT })
    vi.advanceTimersByTime(110)
    expect({ left: table.remainingMs('a'), room: table.availablePermits('a') }).toEqual({ left: 0, room: 1 })
    expect(turns).toEqual([{ endpoint: 'a', event: 'began' }, { endpoint: 'a', event: 'ended' }])
    expect(rooms).toBe(1)
  })

  it('is not left alone for 0 s', () => {
    table.recordBackoff('a', 0)
    expect({ size: table.size, room: table.availablePermits('a') }).toEqual({ size: 0, room: Infinity })
  })

  it('comes back by 1, 2, 4 and 8 at a time, and then takes all', () => {
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

  it('is tried by one again where an attempt ended without an answer', () => {
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(1001)
    expect(acquireAll()).toHaveLength(1)
    expect(table.findBlockReason('a')).toBe('a comes back from a rest, and is being tried')
    expect(acquireAll()).toHaveLength(0)
    table.recordBackoff('a', 500)
    vi.advanceTimersByTime(501)
    const [permit] = acquireAll()
    permit?.release()
    expect(acquireAll()).toHaveLength(1)
  })

  it('that asks again while it comes back is told of when that time is over, and not later', () => {
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(1001)
    table.recordBackoff('a', 500)
    rooms = 0
    vi.advanceTimersByTime(502)
    expect(rooms).toBe(1)
    expect(turns.map(({ event }) => event)).toEqual(['began', 'ended', 'began', 'ended'])
  })

  it('is like any other once nobody has tried it for ten seconds', () => {
    table.recordBackoff('a', 1000)
    vi.advanceTimersByTime(11_100)
    expect(table.size).toBe(0)
  })

  it('is forgotten with its life', () => {
    table.recordBackoff('a', 5000)
    table.forget('a')
    expect(table.availablePermits('a')).toBe(Infinity)
    vi.advanceTimersByTime(6000)
    expect(turns.filter(({ event }) => event === 'ended')).toEqual([])
  })
})

describe('the table', () => {
  it('stays bounded', () => {
    for (let index = 0; index < 20_000; index += 1) table.recordBackoff(`e-${index}`, 60_000)
    expect(table.size).toBe(16_384)
    expect(table.remainingMs('e-19999')).toBeGreaterThan(0)
  })

  it('never gives leave within a time that was asked for, and always does at some time after it', () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant('note' as const), ms: fc.integer({ min: 0, max: 4000 }) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 3000 }) }),
      fc.record({ type: fc.constant('acquire' as const), isAnswered: fc.boolean(), isReleased: fc.boolean() })
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      table.forget('a')
      let until = 0
      const held: Array<() => void> = []
      for (const next of steps) {
        if (next.type === 'note') {
          table.recordBackoff('a', next.ms)
          if (next.ms > 0) until = Math.max(until, performance.now() + next.ms)
        } else if (next.type === 'wait') {
          vi.advanceTimersByTime(next.ms)
        } else {
          const permit = table.acquire('a')
          if (permit !== undefined) expect(performance.now()).toBeGreaterThanOrEqual(until)
          if (next.isAnswered) permit?.recordResponse()
          if (next.isReleased) permit?.release()
          else if (permit !== undefined) held.push(permit.release)
        }
      }
      for (const release of held) release()
      vi.advanceTimersByTime(30_000)
      expect(table.acquire('a')).toBe(UNRESTRICTED_PERMIT)
      expect(table.size).toBe(0)
    }), { numRuns: 300 })
  })
})
