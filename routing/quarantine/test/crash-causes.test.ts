import { describe, expect, it } from 'vitest'
import { findCrashCauses } from '../src/index.ts'

/** Creates one crash for each text; each letter is a request that was running there. */
const crashesOf = (...texts: string[]) => texts.map((text) => new Set(text))
const NONE = new Set<string>()
const findCauses = (
  crashes: Array<Set<string>>, { held = NONE, suspected = NONE } = {}
) => findCrashCauses({ crashes, quarantined: held, formerlyQuarantined: suspected })

describe('among the requests that were running at crashed endpoints', () => {
  it('a request present at three crashes is quarantined, and requests present at one or two of them are not', () => {
    expect(findCauses(crashesOf('Pab', 'Pbc', 'Pd'))).toEqual(['P'])
  })

  it('no request is quarantined for two crashes', () => {
    expect(findCauses(crashesOf('P', 'P'))).toEqual([])
  })

  it('no request is quarantined if another request explains all its crashes', () => {
    expect(findCauses(crashesOf('Pa', 'Pa', 'Pa', 'Pa', 'P'))).toEqual(['P'])
  })

  it('two requests present at the same three crashes are not quarantined until one of them is present at a crash alone', () => {
    expect(findCauses(crashesOf('Pa', 'Pa', 'Pa'))).toEqual([])
    expect(findCauses(crashesOf('Pa', 'Pa', 'Pa', 'P'))).toEqual(['P'])
  })

  it('both of two that were together in five crashes are held', () => {
    expect(findCauses(crashesOf('PQ', 'PQ', 'PQ', 'PQ', 'PQ'))).toContain('P')
  })

  it('two requests that crash different endpoints are both quarantined', () => {
    expect(findCauses(crashesOf('Pa', 'P', 'P', 'Qa', 'Q', 'Q')).sort()).toEqual(['P', 'Q'])
  })

  it('explained crashes count half towards the score of a request', () => {
    expect(findCauses(crashesOf('PQ', 'PQ', 'PQ', 'PQ', 'P', 'Q'), {})).toEqual(['P', 'Q'])
    expect(findCauses(crashesOf('PQ', 'PQ', 'P', 'P', 'Q'), {})).toEqual(['P'])
  })

  it('a quarantined request explains the crashes it was present at', () => {
    expect(findCauses(crashesOf('Pa', 'Pa', 'Pa'), { held: new Set('P') })).toEqual([])
  })

  it('a formerly quarantined request is quarantined again after one crash', () => {
    expect(findCauses(crashesOf('Pa'), { suspected: new Set('P') })).toEqual(['P'])
  })
})
