import { describe, expect, it } from 'vitest'
import { choose, EndpointState, strainOf, weigh, type Demand, type PromptPart } from '@gullwall/routing.balancer'

const LATER = 10_000
const prompt: PromptPart[] = [{ id: 'subject', tokens: 13_000 }, { id: 'own', tokens: 3000 }]
const demand: Demand = { prompt, dataCentre: 'dc1', tier: 1, isResumed: false, strain: 0, excluded: new Set(), sources: [], trustsHome: false }
const SHORT: PromptPart[] = [{ id: 'own', tokens: 800 }]

function endpoints (count = 3): EndpointState[] {
  return Array.from({ length: count }, (_, index) => new EndpointState({
    incarnation: `i-${index}`, service: 'lm', address: `127.0.0.1:${9000 + index}`, dataCentre: 'dc1', slots: 64
  }))
}

function at (list: readonly EndpointState[], index: number): EndpointState {
  const endpoint = list[index]
  if (endpoint === undefined) throw new Error(`no endpoint ${index}`)
  return endpoint
}

function busyWith (endpoint: EndpointState, unreadTokens: number): void {
  endpoint.begin({ prompt: [{ id: `other-${unreadTokens}`, tokens: unreadTokens }], unreadTokens, urgency: 0, strain: 0 }, LATER)
}

describe('the choice of an endpoint', () => {
  it('is the one that keeps the shared parts', () => {
    const all = endpoints()
    at(all, 1).prefixes.note(prompt, 0)
    expect(choose(demand, all, LATER)).toMatchObject({ endpoint: at(all, 1), unreadTokens: 0, source: undefined })
  })

  it('moves away from a long backlog and names where to copy from', () => {
    const all = endpoints()
    at(all, 1).prefixes.note(prompt.slice(0, 1), 0)
    busyWith(at(all, 1), 60_000)
    const chosen = choose({ ...demand, sources: all }, all, LATER)
    expect(chosen?.endpoint).not.toBe(at(all, 1))
    expect(chosen).toMatchObject({ source: at(all, 1), copiedTokens: 13_000, unreadTokens: 3000 })
  })

  it('does not copy where engines cannot, nor from one that has just been sent the parts, nor from a silent one', () => {
    const all = endpoints()
    at(all, 1).prefixes.note(prompt.slice(0, 1), LATER - 100)
    const sources = (sources: EndpointState[], now: number) => weigh({ ...demand, sources }, all, now).map(({ source }) => source)
    expect(sources(all, LATER)).toEqual([undefined, undefined, undefined])
    expect(sources([], 2 * LATER)).toEqual([undefined, undefined, undefined])
    expect(sources(all, 2 * LATER)).toEqual([at(all, 1), undefined, at(all, 1)])
    busyWith(at(all, 1), 1000)
    expect(sources(all, 3 * LATER)).toEqual([undefined, undefined, undefined])
  })

  it('copies also from one that leaves and takes no new work', () => {
    const [staying, leaving] = endpoints(2)
    if (staying === undefined || leaving === undefined) throw new Error('no endpoints')
    leaving.prefixes.note(prompt.slice(0, 1), 0)
    expect(choose({ ...demand, sources: [staying, leaving] }, [staying], LATER)).toMatchObject({ endpoint: staying, source: leaving })
  })

  it('takes all entries to the same endpoint for a subject that nobody keeps', () => {
    const chosen = new Set(Array.from({ length: 5 }, () => choose(demand, endpoints(6).reverse(), LATER)?.endpoint.description.incarnation))
    expect(chosen.size).toBe(1)
  })

  it('keeps streams with short pauses away from engines that read', () => {
    const all = endpoints(2)
    const reading = at(all, 0)
    for (let sample = 0; sample < 100; sample++) {
      busyWith(reading, 8000)
      reading.sampleReading()
    }
    for (const work of reading.works) work.hasBegun = true
    const tight = { ...demand, prompt: SHORT, strain: strainOf(300) }
    expect(choose(tight, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('keeps long reads away from engines with such streams', () => {
    const all = endpoints(2)
    for (let stream = 0; stream < 5; stream++) {
      at(all, 0).begin({ prompt: [], unreadTokens: 0, urgency: 0, strain: strainOf(300) }, LATER).hasBegun = true
      at(all, 1).begin({ prompt: [], unreadTokens: 0, urgency: 0, strain: strainOf(1200) }, LATER).hasBegun = true
    }
    expect(choose({ ...demand, strain: strainOf(1200) }, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('counts as ahead only what is as urgent', () => {
    const all = endpoints(1)
    at(all, 0).begin({ prompt: [{ id: 'long', tokens: 36_000 }], unreadTokens: 36_000, urgency: 5, strain: 0 }, LATER)
    const [short] = weigh({ ...demand, prompt: SHORT }, all, LATER)
    const [long] = weigh({ ...demand, prompt: [{ id: 'own', tokens: 9000 }] }, all, LATER)
    expect(short).toMatchObject({ urgency: 3 })
    expect(short?.waitMs).toBeLessThan(100)
    expect(long).toMatchObject({ urgency: 5 })
    expect(long?.waitMs).toBeGreaterThan(1000)
  })

  it('does not fall on one that was excluded', () => {
    expect(choose({ ...demand, excluded: new Set(['i-0']) }, endpoints(1), LATER)).toBeUndefined()
  })
})
