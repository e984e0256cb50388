import { beforeEach, describe, expect, it } from 'vitest'
import { SuspensionWatch } from '../src/index.ts'

describe('a process', () => {
  let steady: number
  let wall: number
  let watch: SuspensionWatch

  beforeEach(() => {
    steady = 5000
    wall = 1_800_000_000_000
    watch = new SuspensionWatch({ steady: () => steady, wall: () => wall })
  })

  function pass (ms: number): void {
    steady += ms
    wall += ms
  }

  it('that was never suspended has not slept, however its time of day is adjusted', () => {
    for (let turn = 0; turn < 1000; turn += 1) {
      pass(50)
      wall += turn % 2 === 0 ? 3 : -3
    }
    expect(watch.suspendedMs()).toBe(0)
  })

  it('that was suspended has slept as long as its steady clock stood still, also twice', () => {
    wall += 4000
    pass(20)
    expect(watch.suspendedMs()).toBe(4000)
    pass(1000)
    wall += 2000
    expect(watch.suspendedMs()).toBe(6000)
    expect(watch.suspendedMs()).toBe(6000)
  })

  it('whose time of day is set back has not slept, and notices when it is suspended afterwards', () => {
    wall -= 8000
    expect(watch.suspendedMs()).toBe(0)
    wall += 3000
    expect(watch.suspendedMs()).toBe(3000)
  })
})
