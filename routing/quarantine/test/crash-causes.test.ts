import { describe, expect, it } from 'vitest'
import { findCrashCauses } from '../src/index.ts'

/** Creates one crash for each text; each letter is a request that was running there. */
const createCrashes = (...texts: string[]) => texts.map((text) => new Set(text))
const NONE = new Set<string>()
const findCauses = (
  crashes: Array<Set<string>>, { quarantined = NONE, formerlyQuarantined = NONE } = {}
) => findCrashCauses({ crashes, quarantined, formerlyQuarantined })

describe('among the requests that were running at crashed endpoints', () => {
  it('a request present at three crashes is quarantined, and requests present at one or two of them are not', () => {
    expect(findCauses(createCrashes('Pab', 'Pbc', 'Pd'))).toEqual(['P'])
  })

  it('no request is quarantined for two crashes', () => {
    expect(findCauses(createCrashes('P', 'P'))).toEqual([])
  })

  it('no request is quarantined if another request explains all its crashes', () => {
    expect(findCauses(createCrashes('Pa', 'Pa', 'Pa', 'Pa', 'P'))).toEqual(['P'])
  })

  it('two requests present at the same three crashes are not quarantined until one of them is present at a crash alone', () => {
    expect(findCauses(createCrashes('Pa', 'Pa', 'Pa'))).toEqual([])
    expect(findCauses(createCrashes('Pa', 'Pa', 'Pa', 'P'))).toEqual(['P'])
  })

  it('both of two that were together in five crashes are held', () => {
    expect(findCauses(createCrashes('PQ', 'PQ', 'PQ', 'PQ', 'PQ'))).toContain('P')
  })

  it('two requests that crash different endpoints are both quarantined', () => {
    expect(findCauses(createCrashes('Pa', 'P', 'P', 'Qa', 'Q', 'Q')).sort()).toEqual(['P', 'Q'])
  })

  it('explained crashes count half towards the score of a request', () => {
    expect(findCauses(createCrashes('PQ', 'PQ', 'PQ', 'PQ', 'P', 'Q'), {})).toEqual(['P', 'Q'])
    expect(findCauses(createCrashes('PQ', 'PQ', 'P', 'P', 'Q'), {})).toEqual(['P'])
  })

  it('a quarantined request explains the crashes it was present at', () => {
    expect(findCauses(createCrashes('Pa', 'Pa', 'Pa'), { quarantined: new Set('P') })).toEqual([])
  })

  it('a formerly quarantined request is quarantined again after one crash', () => {
    expect(findCauses(createCrashes('Pa'), { formerlyQuarantined: new Set('P') })).toEqual(['P'])
  })
})
