import { describe, expect, it } from 'vitest'
import { selectByRendezvous } from '../src/index.ts'

const ENDPOINTS = 84
const SUBJECTS = 8400

describe('the home of a subject', () => {
  const endpoints = Array.from({ length: ENDPOINTS }, (_unused, index) => `i-${index.toString(16).padStart(10, '0')}`)
  const subjects = Array.from({ length: SUBJECTS }, (_unused, index) => index.toString(16).padStart(8, '0'))
  const homeOf = (subject: string, candidates: readonly string[]) => selectByRendezvous(subject, candidates, (name) => name)

  it('is the same in any order of the endpoints, and none where there are none', () => {
    const reversed = [...endpoints].reverse()
    for (const subject of subjects.slice(0, 100)) expect(homeOf(subject, reversed)).toBe(homeOf(subject, endpoints))
    expect(homeOf('subject', [])).toBeUndefined()
  })

  it('moves only for subjects whose endpoint has gone', () => {
    const [gone, ...left] = endpoints
    for (const subject of subjects.slice(0, 1000)) {
      const before = homeOf(subject, endpoints)
      if (before !== gone) expect(homeOf(subject, left)).toBe(before)
    }
  })

  it('spreads subjects evenly, also where all names differ in a few characters only', () => {
    const counts = new Map<string, number>()
    for (const subject of subjects) {
      const home = homeOf(subject, endpoints) ?? ''
      counts.set(home, (counts.get(home) ?? 0) + 1)
    }
    const expected = SUBJECTS / ENDPOINTS
    // The counts are binomial: six standard deviations of 10 around 100.
    for (const endpoint of endpoints) expect(Math.abs((counts.get(endpoint) ?? 0) - expected)).toBeLessThan(60)
  })
})
