import { describe, expect, it } from 'vitest'
import { selectByRendezvous } from '../src/index.ts'

const ENDPOINTS = 84
const KEYS = 8400

describe('rendezvous hashing', () => {
  const endpoints = Array.from({ length: ENDPOINTS }, (_unused, index) => `i-${index.toString(16).padStart(10, '0')}`)
  const keys = Array.from({ length: KEYS }, (_unused, index) => index.toString(16).padStart(8, '0'))
  const selectFor = (key: string, candidates: readonly string[]) => selectByRendezvous(key, candidates, (name) => name)

  it('selects the same endpoint for any order of the endpoints, and none from an empty list', () => {
    const reversed = [...endpoints].reverse()
    for (const key of keys.slice(0, 100)) expect(selectFor(key, reversed)).toBe(selectFor(key, endpoints))
    expect(selectFor('subject', [])).toBeUndefined()
  })

  it('changes the endpoint only for keys whose endpoint was removed', () => {
    const [removed, ...remaining] = endpoints
    for (const key of keys.slice(0, 1000)) {
      const before = selectFor(key, endpoints)
      if (before !== removed) expect(selectFor(key, remaining)).toBe(before)
    }
  })

  it('spreads keys evenly even if the names differ only in a few characters', () => {
    const counts = new Map<string, number>()
    for (const key of keys) {
      const selected = selectFor(key, endpoints) ?? ''
      counts.set(selected, (counts.get(selected) ?? 0) + 1)
    }
    const expected = KEYS / ENDPOINTS
    // The counts are binomial: six standard deviations of 10 around 100.
    for (const endpoint of endpoints) expect(Math.abs((counts.get(endpoint) ?? 0) - expected)).toBeLessThan(60)
  })
})
