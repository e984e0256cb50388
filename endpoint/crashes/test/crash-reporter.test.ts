import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type MessageOf } from '@gullwall/transport.messages'
import { CrashReporter } from '../src/crash-reporter.ts'

type Report = Omit<MessageOf<'crashes'>, 'kind'>

describe('the crash reporter', () => {
  let reports: Report[]
  let isControlReachable: boolean
  let reporter: CrashReporter

  beforeEach(() => {
    vi.useFakeTimers()
    reports = []
    isControlReachable = true
    reporter = new CrashReporter({
      logger: { sampled: () => {} } as never,
      sendReport: async (report) => {
        if (!isControlReachable) throw new Error('no quorum')
        reports.push(report)
      }
    })
  })
  afterEach(() => {
    reporter.stop()
    vi.useRealTimers()
  })

  const recordCrash = (number: number, ...requests: string[]) => reporter.recordCrash({ endpoint: `i-${number}`, requests })

  it('reports crashes of the same moment together and once', async () => {
    recordCrash(1, 'a')
    recordCrash(2, 'a', 'b')
    await vi.advanceTimersByTimeAsync(5000)
    expect(reports).toEqual([{ crashes: [{ endpoint: 'i-1', requests: ['a'] }, { endpoint: 'i-2', requests: ['a', 'b'] }], ranWell: [] }])
  })

  it('repeats a report until control has accepted it', async () => {
    isControlReachable = false
    recordCrash(1, 'a')
    await vi.advanceTimersByTimeAsync(3000)
    isControlReachable = true
    await vi.advanceTimersByTimeAsync(1000)
    expect(reports.map(({ crashes }) => crashes.length)).toEqual([1])
  })

  it('quarantines requests locally while control is unreachable, and no longer once control has the report', async () => {
    isControlReachable = false
    for (const number of [1, 2, 3]) recordCrash(number, 'a', `only-${number}`)
    expect(reporter.locallyQuarantined.size).toBe(0)
    await vi.advanceTimersByTimeAsync(1500)
    expect([...reporter.locallyQuarantined]).toEqual(['a'])
    isControlReachable = true
    await vi.advanceTimersByTimeAsync(1000)
    expect(reporter.locallyQuarantined.size).toBe(0)
  })

  it('reports a watched request that completed once, and computes no fingerprint while no request is watched', async () => {
    reporter.recordSuccess(() => { throw new Error('not needed') })
    recordCrash(1, 'a')
    reporter.recordSuccess(() => 'another')
    reporter.recordSuccess(() => 'a')
    reporter.recordSuccess(() => 'a')
    await vi.advanceTimersByTimeAsync(100)
    expect(reports.flatMap(({ ranWell }) => ranWell)).toEqual(['a'])
  })

  it('keeps a bounded number of crashes while control is unreachable, and reports them in several messages', async () => {
    isControlReachable = false
    for (let number = 0; number < 1000; number += 1) recordCrash(number, `r-${number}`)
    await vi.advanceTimersByTimeAsync(1000)
    isControlReachable = true
    await vi.advanceTimersByTimeAsync(5000)
    expect(reports.flatMap(({ crashes }) => crashes).length).toBe(128)
    expect(Math.max(...reports.map(({ crashes }) => crashes.length))).toBe(16)
  })
})
