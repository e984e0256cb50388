import { describe, expect, it } from 'vitest'
import { RetryBudget, retryMemoryMs } from '@gullwall/routing.balancer'
import { EntryCount } from '../src/entry-count.ts'

const SLACK = 90
const BUDGET_WINDOW_MS = 10_000
const WINDOW_MS = retryMemoryMs(BUDGET_WINDOW_MS)
/** Time for which a count remains valid: two windows and the time in which control notices a disconnected entry. */
const VALID_MS = 2 * WINDOW_MS + 3000
const STEP_MS = 100
const CONTROLS = ['c1', 'c2', 'c3', 'c4', 'c5']

const createCount = (suspendedMs = () => 0) => new EntryCount({ windowMs: WINDOW_MS, suspendedMs })

describe('the number of entries that share the budgets', () => {
  it('is not lowered by a control process that has just started, and rises at once', () => {
    const counts = createCount()
    for (const control of CONTROLS) counts.record(control, 24, 0)
    counts.record('c5', 2, 100)
    expect(counts.count(true, 100)).toBe(24)
    counts.record('c5', 42, 200)
    expect(counts.count(true, 200)).toBe(42)
  })

  it('falls once all control processes have reported less for so long that retries of a missing entry have left the window', () => {
    const counts = createCount()
    counts.record('c1', 24, 0)
    for (let now = 2000; now <= 30_000; now += 2000) {
      counts.record('c1', 18, now)
      expect(counts.count(true, now)).toBe(now <= VALID_MS ? 24 : 18)
    }
  })

  it('does not fall in the minority of a network partition, however long that lasts', () => {
    const counts = createCount()
    for (const control of CONTROLS) counts.record(control, 24, 0)
    for (let now = 2000; now <= 60_000; now += 2000) {
      for (const control of CONTROLS.slice(0, 2)) counts.record(control, 10, now)
      expect(counts.count(false, now)).toBe(24)
    }
    for (const control of CONTROLS) counts.record(control, 24, 62_000)
    expect(counts.count(true, 62_000)).toBe(24)
  })

  it('includes a share for this entry once a majority has counted it for a window, until a window after the last report', () => {
    const counts = createCount()
    for (let now = 0; now <= WINDOW_MS; now += WINDOW_MS / 5) {
      counts.confirm(now)
      expect(counts.hasShare(now)).toBe(now >= WINDOW_MS)
    }
    expect(counts.hasShare(2 * WINDOW_MS)).toBe(true)
    expect(counts.hasShare(2 * WINDOW_MS + 1)).toBe(false)
    counts.confirm(3 * WINDOW_MS)
    expect(counts.hasShare(3 * WINDOW_MS)).toBe(false)
  })
})

describe('a suspension, or a time of day that is set forward', () => {
  it('gives an entry its share no sooner', () => {
    let suspendedMs = 0
    const counts = createCount(() => suspendedMs)
    counts.confirm(0)
    suspendedMs = WINDOW_MS / 2
    counts.confirm(WINDOW_MS / 2)
    expect(counts.hasShare(WINDOW_MS / 2)).toBe(false)
    expect(counts.hasShare(WINDOW_MS)).toBe(true)
  })

  it('ends the share of an entry that control may have left out meanwhile', () => {
    let suspendedMs = 0
    const counts = createCount(() => suspendedMs)
    for (let now = 0; now <= WINDOW_MS; now += WINDOW_MS / 5) counts.confirm(now)
    expect(counts.hasShare(WINDOW_MS)).toBe(true)
    suspendedMs = WINDOW_MS + 1
    expect(counts.hasShare(WINDOW_MS)).toBe(false)
  })
})

describe('entries that use up their shares of the slack at once', () => {
  it('stay within the slack together while other entries join', () => {
    const fleet = new Fleet(24)
    fleet.runUntil(2 * WINDOW_MS)
    for (let joined = 0; joined < 18; joined += 1) {
      fleet.add(1)
      fleet.runUntil(fleet.now + STEP_MS)
    }
    fleet.runUntil(fleet.now + 3 * WINDOW_MS)
    expect(fleet.retriesAt.length).toBeGreaterThan(SLACK)
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(SLACK)
  })

  it('stay within the slack together while half of them are disconnected from control, and after that', () => {
    const fleet = new Fleet(24)
    fleet.runUntil(2 * WINDOW_MS)
    fleet.disconnect(12)
    fleet.runUntil(fleet.now + 5 * WINDOW_MS)
    fleet.reconnect()
    fleet.runUntil(fleet.now + 3 * WINDOW_MS)
    expect(fleet.retriesAt.length).toBeGreaterThan(2 * SLACK)
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(SLACK)
  })

  it('stay within the slack together while all of them and control are restarted, and control counts them one after the other', () => {
    const fleet = new Fleet(24)
    fleet.runUntil(2 * WINDOW_MS)
    for (let restart = 0; restart < 4; restart += 1) {
      fleet.restartAll()
      fleet.runUntil(fleet.now + 1500)
    }
    fleet.runUntil(fleet.now + 3 * WINDOW_MS)
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(SLACK)
  })
})

interface Entry { counts: EntryCount, budget: RetryBudget, isConnected: boolean }

/** Entries that send as many retries as their budgets allow, and control, which counts the connected ones. */
class Fleet {
  now = 0
  readonly retriesAt: number[] = []
  private entries: Entry[] = []
  /** Number of entries that are linked to control. It rises one by one after a restart of control. */
  private linked = 0

  constructor (size: number) {
    this.add(size)
    this.linked = size
  }

  add (count: number): void {
    for (let added = 0; added < count; added += 1) this.entries.push(this.createEntry())
  }

  disconnect (count: number): void {
    for (const entry of this.entries.slice(0, count)) entry.isConnected = false
  }

  reconnect (): void {
    for (const entry of this.entries) entry.isConnected = true
  }

  restartAll (): void {
    const { length } = this.entries
    this.entries = []
    this.linked = 0
    this.add(length)
  }

  runUntil (end: number): void {
    for (; this.now < end; this.now += STEP_MS) {
      const connected = this.entries.filter(({ isConnected }) => isConnected)
      this.linked = Math.min(this.linked + 1, connected.length)
      for (const { counts } of connected) {
        for (const control of CONTROLS) counts.record(control, this.linked, this.now)
        counts.confirm(this.now)
      }
      for (const { budget } of this.entries) {
        while (budget.tryReserve()) {
          budget.recordSent()
          this.retriesAt.push(this.now)
        }
      }
    }
  }

  mostInWindow (): number {
    return Math.max(0, ...this.retriesAt.map((from) => this.retriesAt.filter((at) => at >= from && at < from + BUDGET_WINDOW_MS).length))
  }

  private createEntry (): Entry {
    const counts = createCount()
    const entry: Entry = {
      counts,
      isConnected: true,
      budget: new RetryBudget({
        ratio: 0.2,
        windowMs: BUDGET_WINDOW_MS,
        slack: SLACK,
        now: () => this.now,
        entryCount: () => counts.hasShare(this.now) ? counts.count(entry.isConnected, this.now) : undefined
      })
    }
    return entry
  }
}
