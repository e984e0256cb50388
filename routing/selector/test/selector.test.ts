import { describe, expect, it } from 'vitest'
import { matches, parseSelector } from '@gullwall/routing.selector'

const labels = { gpu: 'a100', dataCentre: 'east', spot: 'yes' }

describe('selectors', () => {
  it.each([
    ['', true], ['gpu=a100', true], ['gpu == a100', true], ['gpu!=a100', false], ['dataCentre in (east, west)', true],
    ['dataCentre notin (east)', false], ['colour notin (red)', true], ['spot', true], ['!spot', false], ['!colour', true],
    ['gpu=a100, dataCentre in (west)', false]
  ])('%s: matches is %s', (text, expected) => {
    expect(matches(parseSelector(text).unsafeCoerce(), labels)).toBe(expected)
  })

  it.each(['=x', 'a in ()', 'a in (b', 'a,,b', 'a b'])('%s is invalid', (text) => {
    expect(parseSelector(text).isLeft()).toBe(true)
  })
})
