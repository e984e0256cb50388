import { describe, expect, it } from 'vitest'
import {
  choose, EndpointState, InFlightMemory, addMemoryUse, NO_MEMORY_USE, OutputLengthEstimator, requestSizeOf,
  findMemoryRefusalReason, type ChoiceRequest, type PromptPart
} from '@gullwall/routing.balancer'

const promptOf = (subject: string, own = 2900): PromptPart[] => [{ id: subject, tokens: 6300 }, { id: `own ${subject}`, tokens: own }]
const engine = (index = 0) => new EndpointState({
  incarnation: `i-${index}`, service: 'lm', address: `127.0.0.1:${index}`, dataCentre: 'dc1', slots: 64
}, 100_000)

function demandOf (prompt: readonly PromptPart[], changes: Partial<ChoiceRequest> = {}): ChoiceRequest {
  return {
    prompt,
    dataCentre: 'dc1',
    tier: 1,
    isResumed: false,
    needsSlot: true,
    targetMs: 1500,
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

describe('what requests hold of the memory of an engine', () => {
  it('counts the shared parts of a subject once, for as long as a request of it runs', () => {
    const held = new InFlightMemory()
    const sizes = [requestSizeOf(promptOf('a'), 100), requestSizeOf(promptOf('a'), 50), requestSizeOf(promptOf('b'), 0)]
    for (const size of sizes) held.add(size)
    expect(held.tokensWith(NO_MEMORY_USE)).toBe(3 * 2900 + 150 + 2 * 6300)
    for (const size of sizes.slice(0, 2)) held.remove(size)
    expect(held.tokensWith(NO_MEMORY_USE)).toBe(2900 + 6300)
    held.remove(requestSizeOf(promptOf('b'), 0))
    expect(held.tokensWith(NO_MEMORY_USE)).toBe(0)
  })

  it.each([5, 20, 40])('counts %i subjects of 30 entries to a fifth, however many entries have each of them', (subjects) => {
    let others = NO_MEMORY_USE
    for (let entry = 0; entry < 30; entry += 1) {
      const held = new InFlightMemory()
      for (let request = 0; request < 4; request += 1) held.add(requestSizeOf(promptOf(`subject ${(entry * 4 + request) % subjects}`), 0))
      others = addMemoryUse(others, held.use)
    }
    const shared = new InFlightMemory().tokensWith(others) - 120 * 2900
    expect(Math.abs(shared / (subjects * 6300) - 1)).toBeLessThan(0.2)
  })

  it('is given back however an attempt ends, and only once', () => {
    const state = engine()
    const work = state.begin({ prompt: promptOf('a'), unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false, outputTokens: 70 }, 0)
    expect(state.memory.tokensWith(NO_MEMORY_USE)).toBe(6300 + 2900 + 70)
    state.end(work, 'failed', 1)
    state.end(work, 'failed', 2)
    expect(state.memory.tokensWith(NO_MEMORY_USE)).toBe(0)
  })

  it('keeps a request from an engine where it would not fit, unless it goes first', () => {
    const full = engine()
    full.othersLoad = { unread: [], running: 9, strain: 0, sensitive: 0, unreachable: 0, memory: { ...NO_MEMORY_USE, tokens: 85_000 } }
    const demand = demandOf(promptOf('new'))
    expect(choose(demand, [full], 0)).toBeUndefined()
    expect(choose({ ...demand, tier: 0 }, [full], 0)?.endpoint).toBe(full)
    expect(choose({ ...demand, isResumed: true }, [full], 0)?.endpoint).toBe(full)
    expect(choose(demandOf(promptOf('new', 1000).slice(1)), [full], 0)?.endpoint).toBe(full)
  })

  it('makes an engine the dearer the fuller its memory is', () => {
    const [filling, other] = [engine(0), engine(1)]
    filling.prefixCache.record(promptOf('a').slice(0, 1), 0)
    other.prefixCache.record(promptOf('a').slice(0, 1), 0)
    other.othersLoad = { unread: [], running: 12, strain: 0, sensitive: 0, unreachable: 0 }
    const chosen = () => choose(demandOf(promptOf('a')), [filling, other], 10_000)?.endpoint.description.incarnation
    expect(chosen()).toBe('i-0')
    filling.othersLoad = { unread: [], running: 0, strain: 0, sensitive: 0, unreachable: 0, memory: { ...NO_MEMORY_USE, tokens: 72_000 } }
    expect(chosen()).toBe('i-1')
  })

  it('is never enough for a prompt that is larger than it, and nothing else is refused for that', () => {
    expect(findMemoryRefusalReason(promptOf('a'), 9200)).toMatch('9201 tokens, and the memory of an engine holds 9200')
    expect(findMemoryRefusalReason(promptOf('a'), 9201)).toBeUndefined()
    expect(findMemoryRefusalReason([], 0)).toBeUndefined()
  })
})

describe('the length of an answer', () => {
  it('is what the route usually brings where the caller does not say, and never more than the most it takes', () => {
    const outputs = new OutputLengthEstimator()
    expect(outputs.estimate('ask', {})).toBe(0)
    for (let request = 0; request < 100; request += 1) outputs.record('ask', { expectedTokens: 150 })
    expect(outputs.estimate('ask', {})).toBeCloseTo(150)
    expect(outputs.estimate('ask', { maxTokens: 60 })).toBe(60)
    expect(outputs.estimate('other', { maxTokens: 60 })).toBe(0)
  })

  it('lies between the caller\'s estimate and the usual', () => {
    const outputs = new OutputLengthEstimator()
    outputs.record('ask', { expectedTokens: 100 })
    expect(outputs.estimate('ask', { expectedTokens: 400 })).toBeCloseTo(200)
    expect(outputs.estimate('ask', { expectedTokens: 25, maxTokens: 280 })).toBeCloseTo(50)
  })
})
