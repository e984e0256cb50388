import { describe, expect, it } from 'vitest'
import { RetryBudget } from '@gullwall/routing.balancer'
import { EntryCount } from '../src/entry-count.ts'

const SLACK = 90
const CONTROLS = ['c1', 'c2', 'c3', 'c4', 'c5']

describe('how many entries share the budgets', () => {
  it('is not lowered by a control process that has just started, and is raised at once', () => {
    const counts = new EntryCount()
    for (const control of CONTROLS) counts.record(control, 24, 0)
    counts.record('c5', 2, 100)
    expect(counts.count(true, 100)).toBe(24)
    counts.record('c5', 42, 200)
    expect(counts.count(true, 200)).toBe(42)
  })

  it('falls once all have told less for as long as a window', () => {
    const counts = new EntryCount()
    counts.record('c1', 24, 0)
    for (let now = 2000; now <= 14_000; now += 2000) {
      counts.record('c1', 18, now)
      expect(counts.count(true, now)).toBe(now <= 10_000 ? 24 : 18)
    }
  })

  it('stays as it was on the smaller side of a cut, however long that lasts', () => {
    const counts = new EntryCount()
    for (const control of CONTROLS) counts.record(control, 24, 0)
    for (let now = 2000; now <= 60_000; now += 2000) {
      for (const control of CONTROLS.slice(0, 2)) counts.record(control, 10, now)
      expect(counts.count(false, now)).toBe(24)
    }
    for (const control of CONTROLS) counts.record(control, 24, 62_000)
    expect(counts.count(true, 62_000)).toBe(24)
  })

  it('splits the slack anew while entries join: all together never have more than it', () => {
    let now = 0
    let taken = 0
    const entries = Array.from({ length: 24 }, () => entryWith(() => now))
    const spend = () => { for (const { budget } of entries) while (budget.tryTake()) taken += 1 }
    spend()
    expect(taken).toBeGreaterThan(SLACK / 4)
    // Each newcomer hears the count at the opening of its first link; the others within the time in which control tells all together.
    for (let joined = 0; joined < 18; joined += 1) {
      now += 50
      entries.push(entryWith(() => now))
      entries.at(-1)?.counts.record('c1', entries.length, now)
      if (joined % 2 === 1) for (const { counts } of entries) counts.record('c1', entries.length, now)
      // A newcomer has a part of its own at once, also where the others have used up theirs.
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
