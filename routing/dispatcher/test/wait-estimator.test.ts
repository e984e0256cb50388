import { describe, expect, it } from 'vitest'
import { WaitEstimator } from '../src/wait-estimator.ts'

describe('the estimate of a wait', () => {
  it('follows measured grants, less what goes to higher tiers', () => {
    const estimate = new WaitEstimator()
    for (let at = 0; at < 2000; at += 10) {
      estimate.recordGrant(1, at)
      if (at % 20 === 0) estimate.recordArrival(0, at)
    }
    expect(estimate.estimateMs(0, 0, 99, 1999)).toBeCloseTo(1000, -2)
    expect(estimate.estimateMs(1, 0, 99, 1999)).toBeCloseTo(2000, -2)
  })

  it('gives none after a pause, and works again after it', () => {
    const estimate = new WaitEstimator()
    for (let at = 0; at < 500; at += 10) estimate.recordGrant(0, at)
    expect(estimate.estimateMs(0, 0, 1, 60_000)).toBeUndefined()
    for (let at = 60_000; at < 60_500; at += 10) estimate.recordGrant(0, at)
    expect(estimate.estimateMs(0, 0, 0, 60_500)).toBeGreaterThan(0)
  })
})
