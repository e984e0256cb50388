import { describe, expect, it } from 'vitest'
import { Regions } from '@gullwall/config.settings'

describe('the regions of data centres', () => {
  const regions = new Regions({ 'n-1': 'north', 'n-2': 'north', 's-1': 'south' })

  it('tell how far apart two of them are', () => {
    expect(regions.distance('n-1', 'n-1')).toBe('same data centre')
    expect(regions.distance('n-1', 'n-2')).toBe('same region')
    expect(regions.distance('n-1', 's-1')).toBe('other region')
    expect([...regions.names]).toEqual(['north', 'south'])
  })

  it('are one for all that are not named, also for names that every object has', () => {
    expect(regions.distance('x-1', 'constructor')).toBe('same region')
    expect(regions.distance('x-1', 'n-1')).toBe('other region')
    expect(new Regions().distance('a', 'b')).toBe('same region')
  })
})
