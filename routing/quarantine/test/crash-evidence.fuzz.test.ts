/** Random reports of crashes against what must hold whatever their order, and the bounds of what is kept. */
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { CrashEvidence, type Crash } from '../src/index.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 300)
const SEED = Number(process.env['FUZZ_SEED'] ?? 39)

const crash = fc.record({
  endpoint: fc.constantFrom('i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'),
  requests: fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'P'), { maxLength: 4 })
})

function evidenceOf (crashes: readonly Crash[]): CrashEvidence {
  const evidence = new CrashEvidence()
  evidence.recordCrashes(crashes)
  return evidence
}

describe(`the evidence of crashes (seed ${SEED})`, () => {
  console.log(`seed ${SEED}, ${RUNS} runs`)

  it('holds the same requests in whatever order and how often it hears of the same crashes', () => {
    fc.assert(fc.property(fc.array(crash, { maxLength: 12 }), fc.array(fc.nat(), { maxLength: 12 }), (crashes, keys) => {
      const shuffled = crashes.map((item, index) => ({ item, key: keys[index] ?? 0 })).sort((left, right) => left.key - right.key)
      const once = evidenceOf(crashes).evaluate().held.sort()
      expect(evidenceOf([...shuffled.map(({ item }) => item), ...crashes]).evaluate().held.sort()).toEqual(once)
    }), { numRuns: RUNS, seed: SEED })
  })

  it('holds one that was in all crashes where others were in fewer, and none that was in less than three', () => {
    const others = fc.array(fc.subarray(['a', 'b', 'c', 'd'], { maxLength: 3 }), { minLength: 3, maxLength: 10 })
    fc.assert(fc.property(others, (runs) => {
      const counts = new Map<string, number>()
      for (const name of runs.flat()) counts.set(name, (counts.get(name) ?? 0) + 1)
      fc.pre(Math.max(0, ...counts.values()) < runs.length)
      const { held } = evidenceOf(runs.map((requests, index) => ({ endpoint: `i-${index}`, requests: [...requests, 'P'] }))).evaluate()
      expect(held).toEqual(['P'])
    }), { numRuns: RUNS, seed: SEED })
  })

  it('is the same after a snapshot', () => {
    fc.assert(fc.property(fc.array(crash, { maxLength: 12 }), fc.array(crash, { maxLength: 6 }), (before, after) => {
      const first = evidenceOf(before)
      first.evaluate()
      first.releaseRequests([...first.quarantined].slice(0, 1))
      const second = new CrashEvidence()
      second.restore(JSON.parse(JSON.stringify(first.createSnapshot())) as ReturnType<CrashEvidence['createSnapshot']>)
      for (const evidence of [first, second]) evidence.recordCrashes(after)
      expect(second.evaluate()).toEqual(first.evaluate())
      expect(second.createSnapshot()).toEqual(first.createSnapshot())
    }), { numRuns: RUNS, seed: SEED })
  })
})

describe('what is kept', () => {
  it('stays bounded, whatever comes', () => {
    const evidence = new CrashEvidence()
    for (let index = 0; index < 3000; index += 1) {
      const requests = Array.from({ length: 200 }, (_unused, number) => `r-${index}-${number}`)
      evidence.recordCrashes([{ endpoint: `i-${index}`, requests }])
    }
    expect(evidence.endpoints.length).toBe(128)
    expect(evidence.endpoints.at(-1)).toBe('i-2999')
    expect(evidence.suspectCount).toBe(128 * 128)
  })

  it('holds a bounded number of requests, the newest', () => {
    const evidence = new CrashEvidence()
    let released = 0
    for (let request = 0; request < 1100; request += 1) {
      evidence.recordCrashes([1, 2, 3].map((crashed) => ({ endpoint: `i-${request}-${crashed}`, requests: [`r-${request}`] })))
      released += evidence.evaluate().released.length
    }
    expect(evidence.quarantined.size).toBe(1000)
    expect(released).toBe(100)
    expect(evidence.quarantined.has('r-1099')).toBe(true)
  })

  it('is cleared of a request that has run well, also of one that is held', () => {
    const evidence = evidenceOf(['i-1', 'i-2', 'i-3'].map((endpoint) => ({ endpoint, requests: ['a'] })))
    evidence.evaluate()
    expect(evidence.clearRequests(['a', 'b'])).toEqual(['a'])
    expect(evidence.evaluate().held).toEqual([])
    expect(evidence.countCrashes('a')).toBe(0)
  })

  it('is tried again once it is released, and held again with the next crash', () => {
    const evidence = evidenceOf(['i-1', 'i-2', 'i-3'].map((endpoint) => ({ endpoint, requests: ['a'] })))
    evidence.evaluate()
    expect(evidence.releaseRequests(['a'])).toEqual(['a'])
    expect(evidence.evaluate().held).toEqual([])
    evidence.recordCrashes([{ endpoint: 'i-4', requests: ['a', 'b'] }])
    expect(evidence.evaluate().held).toEqual(['a'])
  })
})
