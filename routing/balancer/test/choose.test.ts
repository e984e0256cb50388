import { describe, expect, it } from 'vitest'
import { choose, EndpointState, pauseSensitivityOf, scoreEndpoints, DEFAULT_WEIGHTS, type ChoiceRequest, type PromptPart } from '@gullwall/routing.balancer'

const LATER = 10_000
const prompt: PromptPart[] = [{ id: 'subject', tokens: 13_000 }, { id: 'own', tokens: 3000 }]
const demand: ChoiceRequest = {
  prompt,
  dataCentre: 'dc1',
  tier: 1,
  isResumed: false,
  needsSlot: true,
  targetMs: 2000,
  maxPauseMs: undefined,
  excluded: new Set(),
  copySources: [],
  isAffinityTrusted: false,
  isPauseSensitive: false,
  reserved: new Set()
}
/** What streams pause for while an engine reads that has not been observed, in ms. */
const READING_PAUSE_MS = 200
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

/** Lets streams run that bear a pause of so many ms. */
function runStreams (endpoint: EndpointState, count: number, pauseMs: number): void {
  for (let stream = 0; stream < count; stream++) {
    const strain = pauseSensitivityOf(pauseMs, READING_PAUSE_MS)
    endpoint.begin(
      { prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: strain, isPauseSensitive: false }, LATER
    ).hasFirstEvent = true
  }
}

function busyWith (endpoint: EndpointState, unreadTokens: number): void {
  endpoint.begin({ prompt: [{ id: `other-${unreadTokens}`, tokens: unreadTokens }], unreadTokens, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, LATER)
}

describe('the choice of an endpoint', () => {
  it('is the one that keeps the shared parts', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt, 0)
    expect(choose(demand, all, LATER)).toMatchObject({ endpoint: at(all, 1), unreadTokens: 0, source: undefined })
  })

  it('leaves the home of its prompt where other entries can not connect to it, and copies nothing from there', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt.slice(0, 1), 0)
    at(all, 1).othersLoad = { unread: [], running: 0, strain: 0, sensitive: 0, unreachable: 1 }
    const chosen = choose({ ...demand, copySources: all }, all, LATER)
    expect(chosen?.endpoint).not.toBe(at(all, 1))
    expect(chosen?.source).toBeUndefined()
  })

  it('keeps to it where many others have work there: what a few can not reach may be cut off from these alone', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt.slice(0, 1), 0)
    at(all, 1).othersLoad = { unread: [], running: 12, strain: 0, sensitive: 0, unreachable: 1 }
    expect(choose(demand, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('does not let a request overtake the one that is still reading the parts that both share', () => {
    const all = endpoints(1)
    const first = choose(demand, all, LATER)
    at(all, 0).begin({ prompt, unreadTokens: 16_000, urgency: first?.urgency ?? -1, pauseSensitivity: 0, isPauseSensitive: false }, LATER)
    const short: PromptPart[] = [{ id: 'subject', tokens: 13_000 }, { id: 'another', tokens: 500 }]
    const second = choose({ ...demand, prompt: short }, all, LATER + 10)
    expect(second).toMatchObject({ unreadTokens: 500, urgency: first?.urgency })
    expect(second?.waitMs).toBeGreaterThan(400)
    const later = choose({ ...demand, prompt: short }, all, LATER + 5000)
    expect(later?.urgency).toBeLessThan(first?.urgency ?? -1)
  })

  it('moves away from a long backlog and names where to copy from', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt.slice(0, 1), 0)
    busyWith(at(all, 1), 60_000)
    const chosen = choose({ ...demand, copySources: all }, all, LATER)
    expect(chosen?.endpoint).not.toBe(at(all, 1))
    expect(chosen).toMatchObject({ source: at(all, 1), copiedTokens: 13_000, unreadTokens: 3000 })
  })

  it('does not copy where engines cannot, nor from one that has just been sent the parts, nor from a silent one', () => {
    const all = endpoints()
    at(all, 1).recordCached(prompt.slice(0, 1), LATER - 100)
    const sources = (sources: EndpointState[], now: number) => scoreEndpoints(
      { ...demand, copySources: sources }, all, now
    ).map(({ source }) => source)
    expect(sources(all, LATER)).toEqual([undefined, undefined, undefined])
    expect(sources([], 2 * LATER)).toEqual([undefined, undefined, undefined])
    expect(sources(all, 2 * LATER)).toEqual([at(all, 1), undefined, at(all, 1)])
    busyWith(at(all, 1), 1000)
    expect(sources(all, 3 * LATER)).toEqual([undefined, undefined, undefined])
  })

  it('copies also from one that leaves and takes no new work', () => {
    const [staying, leaving] = endpoints(2)
    if (staying === undefined || leaving === undefined) throw new Error('no endpoints')
    leaving.prefixCache.record(prompt.slice(0, 1), 0)
    expect(choose({ ...demand, copySources: [staying, leaving] }, [staying], LATER)).toMatchObject({ endpoint: staying, source: leaving })
  })

  it('takes all entries to the same endpoint for a subject that nobody keeps', () => {
    const chosen = new Set(Array.from({ length: 5 }, () => choose(demand, endpoints(6).reverse(), LATER)?.endpoint.description.incarnation))
    expect(chosen.size).toBe(1)
  })

  it('keeps streams with short pauses away from engines that read, also where nothing waits there just now', () => {
    const all = endpoints(2)
    for (let sample = 0; sample < 20; sample++) at(all, 0).prefill.sample(8000, LATER)
    expect(choose({ ...demand, prompt: [], maxPauseMs: 200 }, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('keeps long reads away from engines with such streams', () => {
    const all = endpoints(2)
    runStreams(at(all, 0), 5, 200)
    runStreams(at(all, 1), 5, 1200)
    expect(choose({ ...demand, maxPauseMs: 1200 }, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('takes a short read to the engine with such streams all the same, since streams bear it', () => {
    const all = endpoints(2)
    runStreams(at(all, 0), 5, 200)
    at(all, 0).prefixCache.record(prompt.slice(0, 1), 0)
    const nearlyKept: PromptPart[] = [{ id: 'subject', tokens: 13_000 }, { id: 'own', tokens: 900 }]
    expect(choose({ ...demand, prompt: nearlyKept }, all, LATER)?.endpoint).toBe(at(all, 0))
  })

  it('takes streams with short pauses together, so that other engines can read', () => {
    const all = endpoints(3)
    runStreams(at(all, 2), 10, 200)
    expect(choose({ ...demand, prompt: [], maxPauseMs: 200 }, all, LATER)?.endpoint).toBe(at(all, 2))
    const apart = { ...DEFAULT_WEIGHTS, streamColocation: 0 }
    expect(choose({ ...demand, prompt: [], maxPauseMs: 200 }, all, LATER, apart)?.endpoint).not.toBe(at(all, 2))
  })

  it('leaves the engine that keeps the prompt where its first event would be late there', () => {
    const all = endpoints(2)
    at(all, 0).prefixCache.record(prompt.slice(0, 1), 0)
    busyWith(at(all, 0), 18_000)
    const hurried: ChoiceRequest = { ...demand, targetMs: 500, copySources: all }
    expect(choose(hurried, all, LATER)?.endpoint).toBe(at(all, 1))
    expect(choose(hurried, all, LATER, { ...DEFAULT_WEIGHTS, lateFirstEvent: 0 })?.endpoint).toBe(at(all, 0))
  })

  it('takes no more to an engine than its slots, but for what is most urgent or has begun', () => {
    const all = endpoints(1)
    at(all, 0).othersLoad = { unread: [], running: 62, strain: 0, sensitive: 0, unreachable: 0 }
    expect(choose(demand, all, LATER)).toBeUndefined()
    expect(choose({ ...demand, tier: 0 }, all, LATER)).toBeDefined()
    expect(choose({ ...demand, isResumed: true }, all, LATER)).toBeDefined()
    expect(choose({ ...demand, needsSlot: false }, all, LATER)).toBeDefined()
  })

  it('bounds nothing where an engine does not say how many slots it has', () => {
    const [silent] = endpoints(1)
    if (silent === undefined) throw new Error('no endpoint')
    silent.description = { ...silent.description, slots: 0 }
    silent.othersLoad = { unread: [], running: 5, strain: 0, sensitive: 0, unreachable: 0 }
    expect(choose(demand, [silent], LATER)?.cost).toBeGreaterThan(0)
  })

  it('leaves an engine before its slots are taken', () => {
    const all = endpoints(2)
    at(all, 0).prefixCache.record(SHORT, 0)
    at(all, 0).othersLoad = { unread: [], running: 55, strain: 0, sensitive: 0, unreachable: 0 }
    expect(choose({ ...demand, prompt: SHORT }, all, LATER)?.endpoint).toBe(at(all, 1))
    expect(choose({ ...demand, prompt: SHORT }, all, LATER, { ...DEFAULT_WEIGHTS, fullSlots: 0 })?.endpoint).toBe(at(all, 0))
  })

  it('counts as ahead only what is as urgent', () => {
    const all = endpoints(1)
    at(all, 0).begin({ prompt: [{ id: 'long', tokens: 36_000 }], unreadTokens: 36_000, urgency: 5, pauseSensitivity: 0, isPauseSensitive: false }, LATER)
    const [short] = scoreEndpoints({ ...demand, prompt: SHORT }, all, LATER)
    const [long] = scoreEndpoints({ ...demand, prompt: [{ id: 'own', tokens: 9000 }] }, all, LATER)
    expect(short).toMatchObject({ urgency: 3 })
    expect(short?.waitMs).toBeLessThan(100)
    expect(long).toMatchObject({ urgency: 5 })
    expect(long?.waitMs).toBeGreaterThan(1000)
  })

  it('does not fall on one that was excluded', () => {
    expect(choose({ ...demand, excluded: new Set(['i-0']) }, endpoints(1), LATER)).toBeUndefined()
  })
})
