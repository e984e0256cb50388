import { describe, expect, it } from 'vitest'
import {
  choose, EndpointState, InFlightMemory, addMemoryUse, NO_MEMORY_USE, OutputLengthEstimator, requestSizeOf,
  findMemoryRefusalReason, type ChoiceRequest, type PromptPart
} from '@gullwall/routing.balancer'

const promptOf = (sharedPrefixId: string, own = 2900): PromptPart[] => (
  [{ id: sharedPrefixId, tokens: 6300 }, { id: `own ${sharedPrefixId}`, tokens: own }]
)
const engine = (index = 0) => new EndpointState({
  incarnation: `i-${index}`, service: 'lm', address: `127.0.0.1:${index}`, dataCentre: 'dc1', slots: 64
}, 100_000)

function requestOf (prompt: readonly PromptPart[], changes: Partial<ChoiceRequest> = {}): ChoiceRequest {
  return {
    prompt,
    dataCentre: 'dc1',
    tier: 1,
    isResumed: false,
    needsSlot: true,
    firstEventTargetMs: 1500,
    maxPauseMs: undefined,
    excluded: new Set(),
    copySources: [],
    isAffinityTrusted: false,
    isPauseSensitive: false,
    reserved: new Set(),
    size: requestSizeOf(prompt, 100),
    ...changes
  }
}

describe('the memory that requests take at an engine', () => {
  it('includes a shared prefix once while any request with it is in flight', () => {
    const inFlight = new InFlightMemory()
    const sizes = [requestSizeOf(promptOf('a'), 100), requestSizeOf(promptOf('a'), 50), requestSizeOf(promptOf('b'), 0)]
    for (const size of sizes) inFlight.add(size)
    expect(inFlight.tokensWith(NO_MEMORY_USE)).toBe(3 * 2900 + 150 + 2 * 6300)
    for (const size of sizes.slice(0, 2)) inFlight.remove(size)
    expect(inFlight.tokensWith(NO_MEMORY_USE)).toBe(2900 + 6300)
    inFlight.remove(requestSizeOf(promptOf('b'), 0))
    expect(inFlight.tokensWith(NO_MEMORY_USE)).toBe(0)
  })

  it.each([5, 20, 40])('is estimated to within a fifth for %i prefixes that 30 entries share', (prefixes) => {
    let others = NO_MEMORY_USE
    for (let entry = 0; entry < 30; entry += 1) {
      const inFlight = new InFlightMemory()
      for (let index = 0; index < 4; index += 1) inFlight.add(requestSizeOf(promptOf(`subject ${(entry * 4 + index) % prefixes}`), 0))
      others = addMemoryUse(others, inFlight.use)
    }
    const shared = new InFlightMemory().tokensWith(others) - 120 * 2900
    expect(Math.abs(shared / (prefixes * 6300) - 1)).toBeLessThan(0.2)
  })

  it('is released once when an attempt ends', () => {
    const state = engine()
    const inFlightRequest = state.begin({
      prompt: promptOf('a'), unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false, outputTokens: 70
    }, 0)
    expect(state.memory.tokensWith(NO_MEMORY_USE)).toBe(6300 + 2900 + 70)
    state.end(inFlightRequest, 'failed', 1)
    state.end(inFlightRequest, 'failed', 2)
    expect(state.memory.tokensWith(NO_MEMORY_USE)).toBe(0)
  })

  it('excludes an engine in which a request does not fit, unless the request goes first', () => {
    const full = engine()
    full.othersLoad = { unread: [], running: 9, strain: 0, sensitive: 0, unreachable: 0, memory: { ...NO_MEMORY_USE, tokens: 85_000 } }
    const request = requestOf(promptOf('new'))
    expect(choose(request, [full], 0)).toBeUndefined()
    expect(choose({ ...request, tier: 0 }, [full], 0)?.endpoint).toBe(full)
    expect(choose({ ...request, isResumed: true }, [full], 0)?.endpoint).toBe(full)
    expect(choose(requestOf(promptOf('new', 1000).slice(1)), [full], 0)?.endpoint).toBe(full)
  })

  it('raises the cost of an engine as its memory fills', () => {
    const [filling, other] = [engine(0), engine(1)]
    filling.prefixCache.record(promptOf('a').slice(0, 1), 0)
    other.prefixCache.record(promptOf('a').slice(0, 1), 0)
    other.othersLoad = { unread: [], running: 12, strain: 0, sensitive: 0, unreachable: 0 }
    const chosen = () => choose(requestOf(promptOf('a')), [filling, other], 10_000)?.endpoint.description.incarnation
    expect(chosen()).toBe('i-0')
    filling.othersLoad = { unread: [], running: 0, strain: 0, sensitive: 0, unreachable: 0, memory: { ...NO_MEMORY_USE, tokens: 72_000 } }
    expect(chosen()).toBe('i-1')
  })

  it('is a reason for refusal only if the prompt and one token exceed the capacity', () => {
    expect(findMemoryRefusalReason(promptOf('a'), 9200)).toMatch('9201 tokens, and the memory of an engine holds 9200')
    expect(findMemoryRefusalReason(promptOf('a'), 9201)).toBeUndefined()
    expect(findMemoryRefusalReason([], 0)).toBeUndefined()
  })
})

describe('the estimated length of an answer', () => {
  it('is the usual estimate of the route if the caller gives none, and at most the caller\'s maximum', () => {
    const estimator = new OutputLengthEstimator()
    expect(estimator.estimate('ask', {})).toBe(0)
    for (let request = 0; request < 100; request += 1) estimator.record('ask', { expectedTokens: 150 })
    expect(estimator.estimate('ask', {})).toBeCloseTo(150)
    expect(estimator.estimate('ask', { maxTokens: 60 })).toBe(60)
    expect(estimator.estimate('other', { maxTokens: 60 })).toBe(0)
  })

  it('lies between the caller\'s estimate and the usual one', () => {
    const estimator = new OutputLengthEstimator()
    estimator.record('ask', { expectedTokens: 100 })
    expect(estimator.estimate('ask', { expectedTokens: 400 })).toBeCloseTo(200)
    expect(estimator.estimate('ask', { expectedTokens: 25, maxTokens: 280 })).toBeCloseTo(50)
  })
})
