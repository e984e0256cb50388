import { describe, expect, it } from 'vitest'
import { PrefixCacheModel, type PromptPart } from '@gullwall/routing.balancer'

const parts = (...ids: string[]): PromptPart[] => ids.map((id) => ({ id, tokens: 100 }))

describe('the prefix cache of an endpoint', () => {
  it('contains a prompt up to the deepest part that was sent there', () => {
    const cache = new PrefixCacheModel(1000)
    cache.record(parts('a', 'b'), 0)
    expect(cache.cachedTokens(parts('a', 'b', 'c'))).toBe(200)
    expect(cache.cachedTokens(parts('x', 'y'))).toBe(0)
  })

  it('evicts the least recently used parts first', () => {
    const cache = new PrefixCacheModel(300)
    cache.record(parts('a'), 0)
    cache.record(parts('b'), 1)
    cache.record(parts('a'), 2)
    cache.record(parts('c', 'd'), 3)
    expect(cache.cachedTokens(parts('b'))).toBe(0)
    expect(cache.cachedTokens(parts('a'))).toBe(100)
  })

  it('can be copied from once the prefill is complete, even if the part is used again', () => {
    const cache = new PrefixCacheModel(1000)
    cache.record(parts('a'), 600)
    expect(cache.copyableTokens(parts('a', 'b'), 100)).toBe(0)
    cache.record(parts('a'), 1500)
    expect(cache.copyableTokens(parts('a', 'b'), 1000)).toBe(100)
  })
})
