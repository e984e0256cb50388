import { describe, expect, it } from 'vitest'
import {
  choose, EndpointState, pauseSensitivityOf, scoreEndpoints, DEFAULT_WEIGHTS, type ChoiceRequest, type PromptPart
} from '@gullwall/routing.balancer'

const LATER = 10_000
const prompt: PromptPart[] = [{ id: 'subject', tokens: 13_000 }, { id: 'own', tokens: 3000 }]
const request: ChoiceRequest = {
  prompt,
  dataCentre: 'dc1',
  tier: 1,
  isResumed: false,
  needsSlot: true,
  firstEventTargetMs: 2000,
  maxPauseMs: undefined,
  excluded: new Set(),
  copySources: [],
  isAffinityTrusted: false,
  isPauseSensitive: false,
  reserved: new Set()
}
/** The assumed pause of streams during prefill at an engine without observations, in ms. */
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

/** Starts streams with a limit of `pauseMs` for pauses. */
function runStreams (endpoint: EndpointState, count: number, pauseMs: number): void {
  for (let stream = 0; stream < count; stream++) {
    const pauseSensitivity = pauseSensitivityOf(pauseMs, READING_PAUSE_MS)
    endpoint.begin(
      { prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity, isPauseSensitive: false }, LATER
    ).hasFirstEvent = true
  }
}

function addBacklog (endpoint: EndpointState, unreadTokens: number): void {
  endpoint.begin({
    prompt: [{ id: `other-${unreadTokens}`, tokens: unreadTokens }], unreadTokens, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false
  }, LATER)
}

describe('the choice of an endpoint', () => {
  it('selects the endpoint that has the shared parts cached', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt, 0)
    expect(choose(request, all, LATER)).toMatchObject({ endpoint: at(all, 1), unreadTokens: 0, source: undefined })
  })

  it('avoids an endpoint with the prompt cached that other entries cannot connect to, and copies nothing from there', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt.slice(0, 1), 0)
    at(all, 1).othersLoad = { unread: [], running: 0, strain: 0, sensitive: 0, unreachable: 1 }
    const chosen = choose({ ...request, copySources: all }, all, LATER)
    expect(chosen?.endpoint).not.toBe(at(all, 1))
    expect(chosen?.source).toBeUndefined()
  })

  it('stays at an endpoint that a few entries cannot connect to while many requests of others run there', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt.slice(0, 1), 0)
    at(all, 1).othersLoad = { unread: [], running: 12, strain: 0, sensitive: 0, unreachable: 1 }
    expect(choose(request, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('does not let a request overtake another whose prefill of their shared parts is pending', () => {
    const all = endpoints(1)
    const first = choose(request, all, LATER)
    at(all, 0).begin({ prompt, unreadTokens: 16_000, urgency: first?.urgency ?? -1, pauseSensitivity: 0, isPauseSensitive: false }, LATER)
    const short: PromptPart[] = [{ id: 'subject', tokens: 13_000 }, { id: 'another', tokens: 500 }]
    const second = choose({ ...request, prompt: short }, all, LATER + 10)
    expect(second).toMatchObject({ unreadTokens: 500, urgency: first?.urgency })
    expect(second?.waitMs).toBeGreaterThan(400)
    const later = choose({ ...request, prompt: short }, all, LATER + 5000)
    expect(later?.urgency).toBeLessThan(first?.urgency ?? -1)
  })

  it('avoids a long backlog and gives the endpoint to copy from', () => {
    const all = endpoints()
    at(all, 1).prefixCache.record(prompt.slice(0, 1), 0)
    addBacklog(at(all, 1), 60_000)
    const chosen = choose({ ...request, copySources: all }, all, LATER)
    expect(chosen?.endpoint).not.toBe(at(all, 1))
    expect(chosen).toMatchObject({ source: at(all, 1), copiedTokens: 13_000, unreadTokens: 3000 })
  })

  it('copies neither if engines cannot, nor from an endpoint that just received the parts, nor from a silent endpoint', () => {
    const all = endpoints()
    at(all, 1).recordCached(prompt.slice(0, 1), LATER - 100)
    const sources = (sources: EndpointState[], now: number) => scoreEndpoints(
      { ...request, copySources: sources }, all, now
    ).map(({ source }) => source)
    expect(sources(all, LATER)).toEqual([undefined, undefined, undefined])
    expect(sources([], 2 * LATER)).toEqual([undefined, undefined, undefined])
    expect(sources(all, 2 * LATER)).toEqual([at(all, 1), undefined, at(all, 1)])
    addBacklog(at(all, 1), 1000)
    expect(sources(all, 3 * LATER)).toEqual([undefined, undefined, undefined])
  })

  it('copies from an endpoint that accepts no new requests', () => {
    const [ready, draining] = endpoints(2)
    if (ready === undefined || draining === undefined) throw new Error('no endpoints')
    draining.prefixCache.record(prompt.slice(0, 1), 0)
    expect(choose({ ...request, copySources: [ready, draining] }, [ready], LATER)).toMatchObject({ endpoint: ready, source: draining })
  })

  it('is the same in all entries for a prefix that no endpoint has cached', () => {
    const chosen = new Set(Array.from({ length: 5 }, () => (
      choose(request, endpoints(6).reverse(), LATER)?.endpoint.description.incarnation
    )))
    expect(chosen.size).toBe(1)
  })

  it('avoids engines that are often busy with prefill for pause-sensitive streams, even without a backlog', () => {
    const all = endpoints(2)
    for (let sample = 0; sample < 20; sample++) at(all, 0).prefill.sample(8000, LATER)
    expect(choose({ ...request, prompt: [], maxPauseMs: 200 }, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('avoids engines with pause-sensitive streams for long prefill', () => {
    const all = endpoints(2)
    runStreams(at(all, 0), 5, 200)
    runStreams(at(all, 1), 5, 1200)
    expect(choose({ ...request, maxPauseMs: 1200 }, all, LATER)?.endpoint).toBe(at(all, 1))
  })

  it('accepts engines with pause-sensitive streams for short prefill', () => {
    const all = endpoints(2)
    runStreams(at(all, 0), 5, 200)
    at(all, 0).prefixCache.record(prompt.slice(0, 1), 0)
    const nearlyCached: PromptPart[] = [{ id: 'subject', tokens: 13_000 }, { id: 'own', tokens: 900 }]
    expect(choose({ ...request, prompt: nearlyCached }, all, LATER)?.endpoint).toBe(at(all, 0))
  })

  it('co-locates pause-sensitive streams', () => {
    const all = endpoints(3)
    runStreams(at(all, 2), 10, 200)
    expect(choose({ ...request, prompt: [], maxPauseMs: 200 }, all, LATER)?.endpoint).toBe(at(all, 2))
    const withoutColocation = { ...DEFAULT_WEIGHTS, streamColocation: 0 }
    expect(choose({ ...request, prompt: [], maxPauseMs: 200 }, all, LATER, withoutColocation)?.endpoint).not.toBe(at(all, 2))
  })

  it('avoids the engine with the prompt cached if the first event would be late there', () => {
    const all = endpoints(2)
    at(all, 0).prefixCache.record(prompt.slice(0, 1), 0)
    addBacklog(at(all, 0), 18_000)
    const urgent: ChoiceRequest = { ...request, firstEventTargetMs: 500, copySources: all }
    expect(choose(urgent, all, LATER)?.endpoint).toBe(at(all, 1))
    expect(choose(urgent, all, LATER, { ...DEFAULT_WEIGHTS, lateFirstEvent: 0 })?.endpoint).toBe(at(all, 0))
  })

  it('sends no request to an engine without a free slot, except for the most urgent tier and resumed streams', () => {
    const all = endpoints(1)
    at(all, 0).othersLoad = { unread: [], running: 62, strain: 0, sensitive: 0, unreachable: 0 }
    expect(choose(request, all, LATER)).toBeUndefined()
    expect(choose({ ...request, tier: 0 }, all, LATER)).toBeDefined()
    expect(choose({ ...request, isResumed: true }, all, LATER)).toBeDefined()
    expect(choose({ ...request, needsSlot: false }, all, LATER)).toBeDefined()
  })

  it('sets no limit for an engine that does not report its slots', () => {
    const [silent] = endpoints(1)
    if (silent === undefined) throw new Error('no endpoint')
    silent.description = { ...silent.description, slots: 0 }
    silent.othersLoad = { unread: [], running: 5, strain: 0, sensitive: 0, unreachable: 0 }
    expect(choose(request, [silent], LATER)?.cost).toBeGreaterThan(0)
  })

  it('avoids an engine before all its slots are taken', () => {
    const all = endpoints(2)
    at(all, 0).prefixCache.record(SHORT, 0)
    at(all, 0).othersLoad = { unread: [], running: 55, strain: 0, sensitive: 0, unreachable: 0 }
    expect(choose({ ...request, prompt: SHORT }, all, LATER)?.endpoint).toBe(at(all, 1))
    expect(choose({ ...request, prompt: SHORT }, all, LATER, { ...DEFAULT_WEIGHTS, fullSlots: 0 })?.endpoint).toBe(at(all, 0))
  })

  it('counts only requests that are at least as urgent as queued ahead', () => {
    const all = endpoints(1)
    at(all, 0).begin({
      prompt: [{ id: 'long', tokens: 36_000 }], unreadTokens: 36_000, urgency: 5, pauseSensitivity: 0, isPauseSensitive: false
    }, LATER)
    const [short] = scoreEndpoints({ ...request, prompt: SHORT }, all, LATER)
    const [long] = scoreEndpoints({ ...request, prompt: [{ id: 'own', tokens: 9000 }] }, all, LATER)
    expect(short).toMatchObject({ urgency: 3 })
    expect(short?.waitMs).toBeLessThan(100)
    expect(long).toMatchObject({ urgency: 5 })
    expect(long?.waitMs).toBeGreaterThan(1000)
  })

  it('never selects an excluded endpoint', () => {
    expect(choose({ ...request, excluded: new Set(['i-0']) }, endpoints(1), LATER)).toBeUndefined()
  })
})
