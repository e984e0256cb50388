import { describe, expect, it } from 'vitest'
import { findCrashCauses } from '../src/index.ts'

/** Crashes by the letters of the requests that ran there. */
const crashesOf = (...texts: string[]) => texts.map((text) => new Set(text))
const NONE = new Set<string>()
const blame = (
  crashes: Array<Set<string>>, { held = NONE, suspected = NONE } = {}
) => findCrashCauses({ crashes, quarantined: held, formerlyQuarantined: suspected })

describe('among the requests that ran where endpoints crashed', () => {
  it('one that was in three crashes is held, and what shared one or two of them is not', () => {
    expect(blame(crashesOf('Pab', 'Pbc', 'Pd'))).toEqual(['P'])
  })

  it('none is held for two crashes', () => {
    expect(blame(crashesOf('P', 'P'))).toEqual([])
  })

  it('none is held that another one explains, however often it was there', () => {
    expect(blame(crashesOf('Pa', 'Pa', 'Pa', 'Pa', 'P'))).toEqual(['P'])
  })

  it('neither of two is held while they can not be told apart, until one crashes without the other', () => {
    expect(blame(crashesOf('Pa', 'Pa', 'Pa'))).toEqual([])
    expect(blame(crashesOf('Pa', 'Pa', 'Pa', 'P'))).toEqual(['P'])
  })

  it('both of two that were together in five crashes are held', () => {
    expect(blame(crashesOf('PQ', 'PQ', 'PQ', 'PQ', 'PQ'))).toContain('P')
  })

  it('two that crash endpoints apart are both held', () => {
    expect(blame(crashesOf('Pa', 'P', 'P', 'Qa', 'Q', 'Q')).sort()).toEqual(['P', 'Q'])
  })

  it('one that often ran beside another is held with fewer crashes of its own', () => {
    expect(blame(crashesOf('PQ', 'PQ', 'PQ', 'PQ', 'P', 'Q'), {})).toEqual(['P', 'Q'])
    expect(blame(crashesOf('PQ', 'PQ', 'P', 'P', 'Q'), {})).toEqual(['P'])
  })

  it('what is held already explains its crashes', () => {
    expect(blame(crashesOf('Pa', 'Pa', 'Pa'), { held: new Set('P') })).toEqual([])
  })

  it('one that was held before is held again with one crash', () => {
    expect(blame(crashesOf('Pa'), { suspected: new Set('P') })).toEqual(['P'])
  })
})
