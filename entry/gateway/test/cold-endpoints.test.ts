import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type Grant } from '@gullwall/transport.messages'
import { Box, COLD_LIMIT } from './cold-endpoint-fixture.ts'

const LONG_COLD_MS = 60_000
const SECOND_MS = 1000

const grant = (incarnation: string, requests: number, withinMs = 600): Grant => ({ incarnation, requests, withinMs })

/** Runs pending promise callbacks and due timers. */
async function settle (): Promise<void> {
  await vi.advanceTimersByTimeAsync(0)
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('a cold endpoint', () => {
  it('receives nothing without a grant, and the reason is reported', async () => {
    const box = new Box()
    const cold = box.receiveLease('i-cold', 5000)
    const warm = box.receiveLease('i-warm', 0)
    const call = box.call()
    expect(box.eligible(call)).toEqual([warm])
    expect(box.findExclusionReason(cold, call)).toMatch(/^cold, and no grant is available \(reported 0 ms ago: cold for 5000 ms\)/)
    expect(box.coldEndpoints.tryTakeGrant(cold)).toBe(false)
    expect(box.coldEndpoints.describeExcluded(call)).toBe('; excluded cold endpoints without a grant: 1')
    expect(box.coldEndpoints.describeExcluded(box.call())).toBe('')
    await settle()
    expect(box.grantRequests).toEqual([[{ incarnation: 'i-cold', service: 'lm', requests: 2 }]])
    expect(box.coldEndpoints.totals).toEqual({ excluded: 1, sent: 0 })
  })

  it('receives as many requests as were granted', async () => {
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

  it('receives nothing under an expired grant, even if the grant expires between the choice and the send', async () => {
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

  it('receives nothing under a grant that arrives late, as its time runs from the grant request', async () => {
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

  it('is requested again only after the time that a refusal states', async () => {
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

  it('is requested again for a waiting request even if no other request arrives', async () => {
    const box = new Box()
    box.receiveLease('i-cold', 5000)
    box.answerGrants = async () => [grant('i-cold', 0, 300)]
    box.eligible()
    await settle()
    const woken = box.wakeCount
    await vi.advanceTimersByTimeAsync(301)
    expect(box.wakeCount).toBeGreaterThan(woken)
  })

  it('receives nothing while control does not answer, and is then requested less often', async () => {
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

  it('is requested less often the more boxes there are, so that one control process can answer all of them', async () => {
    const countRequests = async (entries: number) => {
      const box = new Box()
      box.entries = entries
      box.receiveLease('i-cold', LONG_COLD_MS)
      for (let ms = 0; ms < SECOND_MS; ms += 10) {
        box.eligible()
        await vi.advanceTimersByTimeAsync(10)
      }
      return box.grantRequests.length
    }
    expect([await countRequests(28), await countRequests(560)]).toEqual([20, 4])
  })

  it('is requested for as many requests as arrived recently, also if its service is one of several of a route', async () => {
    const box = new Box()
    box.receiveLease('i-1', LONG_COLD_MS)
    box.receiveLease('i-2', LONG_COLD_MS, { service: 'lm-next' })
    for (let calls = 0; calls < 3; calls += 1) box.eligible()
    await settle()
    expect(box.grantRequests.flat().map(({ service, requests }) => ({ service, requests }))).toEqual([
      { service: 'lm', requests: 4 }, { service: 'lm-next', requests: 4 }
    ])
  })

  it('is not requested while half of the needed grants are available', async () => {
    const box = new Box()
    box.receiveLease('i-1', LONG_COLD_MS)
    box.receiveLease('i-2', LONG_COLD_MS)
    box.answerGrants = async (requests) => requests.map(({ incarnation }) => grant(incarnation, 1))
    box.eligible()
    await settle()
    // One grant is available, and two requests arrived recently.
    await vi.advanceTimersByTimeAsync(60)
    box.eligible()
    await settle()
    expect(box.grantRequests).toHaveLength(2)
    await vi.advanceTimersByTimeAsync(60)
    box.eligible()
    await settle()
    expect(box.grantRequests).toHaveLength(2)
  })

  it('is not limited if its service has no limit for cold endpoints', () => {
    const box = new Box()
    const plain = box.receiveLease('i-plain', 5000, { service: 'plain' })
    expect(box.findExclusionReason(plain)).toBeUndefined()
    expect(box.coldEndpoints.tryTakeGrant(plain)).toBe(true)
  })
})

describe('an endpoint', () => {
  it('is cold for the reported time, less the age of the report, plus a margin', async () => {
    const box = new Box()
    const endpoint = box.receiveLease('i-1', 2000, { ageMs: 1000 })
    expect(box.findExclusionReason(endpoint)).toBeDefined()
    await vi.advanceTimersByTimeAsync(1000)
    expect(box.findExclusionReason(endpoint)).toBeDefined()
    await vi.advanceTimersByTimeAsync(110)
    expect(box.findExclusionReason(endpoint)).toBeUndefined()
  })

  it('that becomes cold again receives nothing more', () => {
    const box = new Box()
    const endpoint = box.receiveLease('i-1', 0)
    expect(box.findExclusionReason(endpoint)).toBeUndefined()
    box.receiveLease('i-1', 5000)
    expect(box.findExclusionReason(endpoint)).toBeDefined()
  })

  it('that is found later than others and reports no cold time is assumed to be cold for its usual start time', async () => {
    const box = new Box()
    const old = box.receiveLease('i-old', undefined)
    expect(box.findExclusionReason(old)).toBeUndefined()
    await vi.advanceTimersByTimeAsync(5000)
    const fresh = box.receiveLease('i-new', undefined)
    expect([old, fresh].map((endpoint) => box.findExclusionReason(endpoint) === undefined)).toEqual([true, false])
    await vi.advanceTimersByTimeAsync(COLD_LIMIT.startMs)
    expect(box.findExclusionReason(fresh)).toBeUndefined()
  })

  it('of a data centre that receives requests again is cold until a heartbeat that started later reports otherwise', async () => {
    const box = new Box()
    const near = box.receiveLease('i-near', 0)
    const far = box.receiveLease('i-far', 0, { dataCentre: 'dc2' })
    expect(box.eligible()).toEqual([near, far])
    box.coldEndpoints.assumeCold('dc2')
    expect(box.eligible()).toEqual([near])
    await vi.advanceTimersByTimeAsync(900)
    // This heartbeat may have started before the assumption.
    box.receiveLease('i-far', 0, { dataCentre: 'dc2' })
    expect(box.eligible()).toEqual([near])
    await vi.advanceTimersByTimeAsync(300)
    box.receiveLease('i-far', 0, { dataCentre: 'dc2' })
    expect(box.eligible()).toEqual([near, far])
  })

  it('that has become warm receives a growing share of the requests', async () => {
    const box = new Box()
    const warm = ['i-1', 'i-2', 'i-3'].map((name) => box.receiveLease(name, 0))
    const endpoint = box.receiveLease('i-4', 1000)
    box.eligible()
    await vi.advanceTimersByTimeAsync(1100)
    const shareNow = () => {
      const preferred = Array.from({ length: 400 }, () => box.call()).map(
        (call) => box.coldEndpoints.selectPreferred(box.eligible(call), call)
      )
      expect(preferred.every((endpoints) => warm.every((other) => endpoints.includes(other)))).toBe(true)
      return preferred.filter((endpoints) => endpoints.includes(endpoint)).length / 400
    }
    expect(shareNow()).toBeCloseTo(0.1, 1)
    await vi.advanceTimersByTimeAsync(1000)
    expect(shareNow()).toBeCloseTo(0.55, 1)
    await vi.advanceTimersByTimeAsync(1000)
    expect(shareNow()).toBe(1)
  })

  it('that has become warm together with most others receives its full share at once, as the rest could not serve all requests', async () => {
    const box = new Box()
    box.receiveLease('i-warm', 0)
    for (const name of ['i-1', 'i-2', 'i-3']) box.receiveLease(name, 1000)
    box.eligible()
    await vi.advanceTimersByTimeAsync(1100)
    const call = box.call()
    expect(box.coldEndpoints.selectPreferred(box.eligible(call), call)).toHaveLength(4)
  })
})
