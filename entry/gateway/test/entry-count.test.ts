import { describe, expect, it } from 'vitest'
import { RetryBudget } from '@gullwall/routing.balancer'
import { EntryCount } from '../src/entry-count.ts'

const SLACK = 90
const CONTROLS = ['c1', 'c2', 'c3', 'c4', 'c5']

describe('the number of entries that share the budgets', () => {
  it('is not lowered by a control process that has just started, and rises at once', () => {
    const counts = new EntryCount()
    for (const control of CONTROLS) counts.record(control, 24, 0)
    counts.record('c5', 2, 100)
    expect(counts.count(true, 100)).toBe(24)
    counts.record('c5', 42, 200)
    expect(counts.count(true, 200)).toBe(42)
  })

  it('falls once all control processes have reported less for the length of a window', () => {
    const counts = new EntryCount()
    counts.record('c1', 24, 0)
    for (let now = 2000; now <= 14_000; now += 2000) {
      counts.record('c1', 18, now)
      expect(counts.count(true, now)).toBe(now <= 10_000 ? 24 : 18)
    }
  })

  it('does not fall in the minority of a network partition, however long that lasts', () => {
    const counts = new EntryCount()
    for (const control of CONTROLS) counts.record(control, 24, 0)
    for (let now = 2000; now <= 60_000; now += 2000) {
      for (const control of CONTROLS.slice(0, 2)) counts.record(control, 10, now)
      expect(counts.count(false, now)).toBe(24)
    }
    for (const control of CONTROLS) counts.record(control, 24, 62_000)
    expect(counts.count(true, 62_000)).toBe(24)
  })

  it('divides the slack again while entries join, and together they never use more than the slack', () => {
    let now = 0
    let taken = 0
    const entries = Array.from({ length: 24 }, () => entryWith(() => now))
    const spend = () => { for (const { budget } of entries) while (budget.tryTake()) taken += 1 }
    spend()
    expect(taken).toBeGreaterThan(SLACK / 4)
    // A new entry receives the count when its first link opens; the others receive it with the next announcement of control.
    for (let joined = 0; joined < 18; joined += 1) {
      now += 50
      entries.push(entryWith(() => now))
      entries.at(-1)?.counts.record('c1', entries.length, now)
      if (joined % 2 === 1) for (const { counts } of entries) counts.record('c1', entries.length, now)
      // A new entry has its own share at once, even if the others have used up theirs.
      expect(entries.at(-1)?.budget.remaining).toBeGreaterThan(1)
      spend()
    }
    expect(taken).toBeLessThanOrEqual(SLACK)
  })
})

function entryWith (now: () => number): { counts: EntryCount, budget: RetryBudget } {
  const counts = new EntryCount()
  counts.record('c1', 24, now())
  const budget = new RetryBudget({ ratio: 0.2, windowMs: 10_000, slack: SLACK, entryCount: () => counts.count(true, now()), now })
  return { counts, budget }
}
