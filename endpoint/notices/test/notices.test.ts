import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MAX_BACKOFF_MS, parseNotices, parseRetryAfter } from '../src/index.ts'

const NOW = Date.parse('Thu, 03 Dec 2026 10:00:00 GMT')
const parse = (text: string, date?: string) => parseRetryAfter(text, { date, now: NOW })
const notices = (status: number, headers: Record<string, string | string[]>) => (
  parseNotices({ status, headers, drainingHeader: 'x-leaving', now: NOW })
)

describe('the time in Retry-After', () => {
  it.each([
    ['3', 3000], ['0', 0], ['0.25', 250], ['.5', 500], [' 7 ', 7000], ['3.', 3000], ['7200', 7_200_000], ['99999999999', MAX_BACKOFF_MS]
  ])('is parsed from the seconds %j', (text, ms) => expect(parse(text)).toBe(ms))

  it.each([
    ['Thu, 03 Dec 2026 10:00:04 GMT', 4000],
    ['Thursday, 03-Dec-26 10:00:04 GMT', 4000],
    ['Thu Dec  3 10:00:04 2026', 4000],
    ['Thu, 03 Dec 2026 09:00:00 GMT', 0],
    ['Fri, 03 Dec 2027 10:00:00 GMT', MAX_BACKOFF_MS]
  ])('is parsed from the date %j', (text, ms) => expect(parse(text)).toBe(ms))

  it('is relative to the Date header of the response', () => {
    expect(parse('Thu, 03 Dec 2026 09:00:05 GMT', 'Thu, 03 Dec 2026 09:00:00 GMT')).toBe(5000)
  })

  it.each(['', 'soon', '-1', '+3', '3s', '1e3', 'Infinity', 'NaN', '3,5', '0x10', 'Thu, no date 99:99:99 GMT', '2026-12-03T10:00:04Z'])(
    'is undefined for %j', (text) => expect(parse(text)).toBeUndefined()
  )

  it('is a bounded number of ms or undefined for any text', () => {
    const dates = fc.date({ noInvalidDate: true }).map((date) => date.toUTCString())
    fc.assert(fc.property(fc.oneof(fc.string(), fc.double().map(String), dates), (text) => {
      const ms = parse(text)
      expect(ms === undefined || (ms >= 0 && ms <= MAX_BACKOFF_MS)).toBe(true)
    }), { numRuns: 1000 })
  })
})

describe('the notices of a response', () => {
  it('include draining for any status', () => {
    for (const status of [200, 206, 400, 421, 429, 500, 503]) expect(notices(status, { 'x-leaving': '1' }).isDraining, String(status)).toBe(true)
    expect(notices(200, {}).isDraining).toBe(false)
    expect(notices(200, { 'x-leaving': '0' }).isDraining).toBe(false)
    expect(notices(200, { 'x-leaving': ['0', '1'] }).isDraining).toBe(true)
  })

  it('include a backoff only if the status is 429 or 503', () => {
    expect(notices(503, { 'retry-after': '3' }).backoffMs).toBe(3000)
    expect(notices(429, { 'retry-after': '3' }).backoffMs).toBe(3000)
    for (const status of [200, 301, 413, 500]) expect(notices(status, { 'retry-after': '3' }).backoffMs).toBeUndefined()
    expect(notices(503, {})).toEqual({ isDraining: false, backoffMs: undefined, limit: { perSecond: undefined } })
  })

  it('use the longest of several backoffs and ignore invalid values', () => {
    expect(notices(503, { 'retry-after': ['1', 'soon', '4'] }).backoffMs).toBe(4000)
    expect(notices(503, { 'retry-after': ['soon', 'later'] })).toEqual({ isDraining: false, backoffMs: undefined, limit: { perSecond: undefined }, invalidValues: 'soon | later' })
  })
})

describe('the advertised limit of a response', () => {
  const parseLimitHeader = (value: string | string[], status = 200) => notices(status, { 'x-gullwall-limit': value })

  it.each([['1', 1], ['0', 0], ['0.25', 0.25], ['.5', 0.5], ['12.', 12], [' 3 ', 3], ['100000000', 1e8]])('is a decimal number: %j', (text, perSecond) => {
    expect(parseLimitHeader(text).limit).toEqual({ perSecond })
  })

  it('is the smallest of several values in one header line or in several', () => {
    expect(parseLimitHeader('5, 2').limit).toEqual({ perSecond: 2 })
    expect(parseLimitHeader(['5', '2', 'soon']).limit).toEqual({ perSecond: 2 })
  })

  it.each(['-1', 'many', '', '1e3', '0x10', 'NaN', 'Infinity', '1 000', '9'.repeat(400)])('is unchanged by the invalid value %j', (text) => {
    const { limit, invalidValues } = parseLimitHeader(text)
    expect(limit).toBeUndefined()
    expect(invalidValues).toBe(text.slice(0, 60))
  })

  it('is ended by a final response without a limit, but not by an interim response', () => {
    expect(notices(200, {}).limit).toEqual({ perSecond: undefined })
    expect(notices(503, {}).limit).toEqual({ perSecond: undefined })
    expect(notices(103, {}).limit).toBeUndefined()
    expect(parseLimitHeader('2', 103).limit).toEqual({ perSecond: 2 })
  })
})
