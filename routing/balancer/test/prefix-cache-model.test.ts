import { describe, expect, it } from 'vitest'
import { PrefixCacheModel, type PromptPart } from '@gullwall/routing.balancer'

const parts = (...ids: string[]): PromptPart[] => ids.map((id) => ({ id, tokens: 100 }))

describe('what an endpoint keeps of prompts', () => {
  it('reaches as far as the deepest part that was sent there', () => {
    const memory = new PrefixCacheModel(1000)
    memory.record(parts('a', 'b'), 0)
    expect(memory.cachedTokens(parts('a', 'b', 'c'))).toBe(200)
    expect(memory.cachedTokens(parts('x', 'y'))).toBe(0)
  })

  it('gives way from the least recently used', () => {
    const memory = new PrefixCacheModel(300)
    memory.record(parts('a'), 0)
    memory.record(parts('b'), 1)
    memory.record(parts('a'), 2)
    memory.record(parts('c', 'd'), 3)
    expect(memory.cachedTokens(parts('b'))).toBe(0)
    expect(memory.cachedTokens(parts('a'))).toBe(100)
  })

  it('can be copied once it has had time to be read, also if it is used again and again', () => {
    const memory = new PrefixCacheModel(1000)
    memory.record(parts('a'), 600)
    expect(memory.copyableTokens(parts('a', 'b'), 100)).toBe(0)
    memory.record(parts('a'), 1500)
    expect(memory.copyableTokens(parts('a', 'b'), 1000)).toBe(100)
  })
})
