import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type Grant } from '@gullwall/transport.messages'
import { Box, COLD_LIMIT } from './cold-endpoint-fixture.ts'

const LONG_COLD_MS = 60_000
const SECOND = 1000

const grant = (incarnation: string, requests: number, withinMs = 600): Grant => ({ incarnation, requests, withinMs })

/** Lets answers that are there arrive. */
async function settle (): Promise<void> {
  await vi.advanceTimersByTimeAsync(0)
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('a cold endpoint', () => {
  it('gets nothing without a grant, and the request is told why', async () => {
    const box = new Box()
    const cold = box.receiveLease('i-cold', 5000)
    const warm = box.receiveLease('i-warm', 0)
    const call = box.call()
    expect(box.eligible(call)).toEqual([warm])
    expect(box.findExclusionReason(cold, call)).toMatch(/^cold, and no grant is at hand \(it said 0 ms ago: for 5000 ms\)/)
    expect(box.coldEndpoints.tryTakeGrant(cold)).toBe(false)
    expect(box.coldEndpoints.describeExcluded(call)).toBe('; kept from 1 cold without a grant')
    expect(box.coldEndpoints.describeExcluded(box.call())).toBe('')
    await settle()
    expect(box.grantRequests).toEqual([[{ incarnation: 'i-cold', service: 'lm', requests: 2 }]])
    expect(box.coldEndpoints.totals).toEqual({ excluded: 1, sent: 0 })
  })

  it('gets as many requests as were granted', async () => {
    const box = new Box()
    const cold = box.receiveLease('i-cold', 5000)
    box.answerGrants = async () => [grant('i-cold', 2)]
    box.eligible()
    await settle()
    expect(box.wakeCount).toBe(1)
    expect(box.eligible()).toEqual([cold])
    expect([1, 2, 3].map(() => box.coldEndpoints.tryTakeGrant(cold))).toEqual([true, true, false])
    expect(box.eligible()).toEqual([])
  })

  it('gets nothing under a grant that is over, also if that ends between the choice and the send', async () => {
    const box = new Box()
    const cold = box.receiveLease('i-cold', 5000)
    box.answerGrants = async () => [grant('i-cold', 5)]
    box.eligible()
    await settle()
    await vi.advanceTimersByTimeAsync(599)
    expect(box.eligible()).toEqual([cold])
    await vi.advanceTimersByTimeAsync(1)
    expect(box.coldEndpoints.tryTakeGrant(cold)).toBe(false)
    expect(box.eligible()).toEqual([])
  })

  it('gets nothing under a grant that was too long under way: its time runs from the ask', async () => {
    const box = new Box()
    box.receiveLease('i-cold', 5000)
    let answer: (grants: Grant[]) => void = () => {}
    box.answerGrants = async () => await new Promise((resolve) => { answer = resolve })
    box.eligible()
    await vi.advanceTimersByTimeAsync(600)
    answer([grant('i-cold', 5)])
    await settle()
    expect(box.eligible()).toEqual([])
  })

  it('is asked for again only after the time that a refusal names', async () => {
    const box = new Box()
    box.receiveLease('i-cold', 5000)
    box.answerGrants = async () => [grant('i-cold', 0, 700)]
    for (let ms = 0; ms < 700; ms += 50) {
      box.eligible()
      await vi.advanceTimersByTimeAsync(50)
    }
    expect(box.grantRequests).toHaveLength(1)
    box.eligible()
    await settle()
    expect(box.grantRequests).toHaveLength(2)
  })

  it('is asked for again by a request that waits, though no other arrives', async () => {
    const box = new Box()
    box.receiveLease('i-cold', 5000)
    box.answerGrants = async () => [grant('i-cold', 0, 300)]
    box.eligible()
    await settle()
    const woken = box.wakeCount
    await vi.advanceTimersByTimeAsync(301)
    expect(box.wakeCount).toBeGreaterThan(woken)
  })

  it('gets nothing while nobody answers, and asks then come less often', async () => {
    const box = new Box()
    box.receiveLease('i-cold', LONG_COLD_MS)
    box.answerGrants = async () => { throw new Error('no leader is known') }
    for (let ms = 0; ms < 2000; ms += 20) {
      expect(box.eligible()).toEqual([])
      await vi.advanceTimersByTimeAsync(20)
    }
    expect(box.grantRequests.length).toBeGreaterThan(2)
    expect(box.grantRequests.length).toBeLessThanOrEqual(5)
    expect(box.coldEndpoints.grantRequester.totals.failed).toBe(box.grantRequests.length)
  })

  it('is asked for the more rarely the more boxes ask, so that one process can answer all of them', async () => {
    const asksOf = async (entries: number) => {
      const box = new Box()
      box.entries = entries
      box.receiveLease('i-cold', LONG_COLD_MS)
      for (let ms = 0; ms < SECOND; ms += 10) {
        box.eligible()
        await vi.advanceTimersByTimeAsync(10)
      }
      return box.grantRequests.length
    }
    expect([await asksOf(28), await asksOf(560)]).toEqual([20, 4])
  })

  it('is asked for as many requests as came lately, also where its service is one of several of a route', async () => {
    const box = new Box()
    box.receiveLease('i-1', LONG_COLD_MS)
    box.receiveLease('i-2', LONG_COLD_MS, { service: 'lm-next' })
    for (let calls = 0; calls < 3; calls += 1) box.eligible()
    await settle()
    expect(box.grantRequests.flat().map(({ service, requests }) => ({ service, requests }))).toEqual([
      { service: 'lm', requests: 4 }, { service: 'lm-next', requests: 4 }
    ])
  })

  it('is not asked for while half of what is needed is at hand', async () => {
    const box = new Box()
    box.receiveLease('i-1', LONG_COLD_MS)
    box.receiveLease('i-2', LONG_COLD_MS)
    box.answerGrants = async (wishes) => wishes.map(({ incarnation }) => grant(incarnation, 1))
    box.eligible()
    await settle()
    // One grant is there, and two requests came lately.
    await vi.advanceTimersByTimeAsync(60)
    box.eligible()
    await settle()
    expect(box.grantRequests).toHaveLength(2)
    await vi.advanceTimersByTimeAsync(60)
    box.eligible()
    await settle()
    expect(box.grantRequests).toHaveLength(2)
  })

  it('is not spared where its service does not say what it bears', () => {
    const box = new Box()
    const plain = box.receiveLease('i-plain', 5000, { service: 'plain' })
    expect(box.findExclusionReason(plain)).toBeUndefined()
    expect(box.coldEndpoints.tryTakeGrant(plain)).toBe(true)
  })
})

describe('an endpoint', () => {
  it('is cold for the time that it told, less the age of its word, and a little more', async () => {
    const box = new Box()
    const endpoint = box.receiveLease('i-1', 2000, { ageMs: 1000 })
    expect(box.findExclusionReason(endpoint)).toBeDefined()
    await vi.advanceTimersByTimeAsync(1000)
    expect(box.findExclusionReason(endpoint)).toBeDefined()
    await vi.advanceTimersByTimeAsync(110)
    expect(box.findExclusionReason(endpoint)).toBeUndefined()
  })

  it('that turns cold again gets nothing more', () => {
    const box = new Box()
    const endpoint = box.receiveLease('i-1', 0)
    expect(box.findExclusionReason(endpoint)).toBeUndefined()
    box.receiveLease('i-1', 5000)
    expect(box.findExclusionReason(endpoint)).toBeDefined()
  })

  it('that appears during traffic and does not say is taken to be cold for its usual time', async () => {
    const box = new Box()
    const old = box.receiveLease('i-old', undefined)
    expect(box.findExclusionReason(old)).toBeUndefined()
    await vi.advanceTimersByTimeAsync(5000)
    const fresh = box.receiveLease('i-new', undefined)
    expect([old, fresh].map((endpoint) => box.findExclusionReason(endpoint) === undefined)).toEqual([true, false])
    await vi.advanceTimersByTimeAsync(COLD_LIMIT.startMs)
    expect(box.findExclusionReason(fresh)).toBeUndefined()
  })

  it('of a data centre that gets work again is cold until a heartbeat that was begun later says otherwise', async () => {
    const box = new Box()
    const near = box.receiveLease('i-near', 0)
    const far = box.receiveLease('i-far', 0, { dataCentre: 'dc2' })
    expect(box.eligible()).toEqual([near, far])
    box.coldEndpoints.assumeCold('dc2')
    expect(box.eligible()).toEqual([near])
    await vi.advanceTimersByTimeAsync(900)
    // This one may have been begun before.
    box.receiveLease('i-far', 0, { dataCentre: 'dc2' })
    expect(box.eligible()).toEqual([near])
    await vi.advanceTimersByTimeAsync(300)
    box.receiveLease('i-far', 0, { dataCentre: 'dc2' })
    expect(box.eligible()).toEqual([near, far])
  })

  it('that has turned warm gets a growing share of the requests', async () => {
    const box = new Box()
    const warm = ['i-1', 'i-2', 'i-3'].map((name) => box.receiveLease(name, 0))
    const endpoint = box.receiveLease('i-4', 1000)
    box.eligible()
    await vi.advanceTimersByTimeAsync(1100)
    const shareNow = () => {
      const preferred = Array.from({ length: 400 }, () => box.call()).map(
        (call) => box.coldEndpoints.selectPreferred(box.eligible(call), call)
      )
      expect(preferred.every((those) => warm.every((other) => those.includes(other)))).toBe(true)
      return preferred.filter((those) => those.includes(endpoint)).length / 400
    }
    expect(shareNow()).toBeCloseTo(0.1, 1)
    await vi.advanceTimersByTimeAsync(1000)
    expect(shareNow()).toBeCloseTo(0.55, 1)
    await vi.advanceTimersByTimeAsync(1000)
    expect(shareNow()).toBe(1)
  })

  it('that has turned warm with most others gets its work at once: the few others could not take all of it', async () => {
    const box = new Box()
    box.receiveLease('i-warm', 0)
    for (const name of ['i-1', 'i-2', 'i-3']) box.receiveLease(name, 1000)
    box.eligible()
    await vi.advanceTimersByTimeAsync(1100)
    const call = box.call()
    expect(box.coldEndpoints.selectPreferred(box.eligible(call), call)).toHaveLength(4)
  })
})
