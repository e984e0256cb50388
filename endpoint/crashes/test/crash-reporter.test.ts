import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type MessageOf } from '@gullwall/transport.messages'
import { CrashReporter } from '../src/crash-reporter.ts'

type Word = Omit<MessageOf<'crashes'>, 'kind'>

describe('what a box saw of crashed endpoints', () => {
  let words: Word[]
  let canTell: boolean
  let reporter: CrashReporter

  beforeEach(() => {
    vi.useFakeTimers()
    words = []
    canTell = true
    reporter = new CrashReporter({
      logger: { sampled: () => {} } as never,
      sendReport: async (word) => {
        if (!canTell) throw new Error('no quorum')
        words.push(word)
      }
    })
  })
  afterEach(() => {
    reporter.stop()
    vi.useRealTimers()
  })

  const crash = (number: number, ...requests: string[]) => reporter.recordCrash({ endpoint: `i-${number}`, requests })

  it('is told together, once', async () => {
    crash(1, 'a')
    crash(2, 'a', 'b')
    await vi.advanceTimersByTimeAsync(5000)
    expect(words).toEqual([{ crashes: [{ endpoint: 'i-1', requests: ['a'] }, { endpoint: 'i-2', requests: ['a', 'b'] }], ranWell: [] }])
  })

  it('is told again until somebody has taken it', async () => {
    canTell = false
    crash(1, 'a')
    await vi.advanceTimersByTimeAsync(3000)
    canTell = true
    await vi.advanceTimersByTimeAsync(1000)
    expect(words.map(({ crashes }) => crashes.length)).toEqual([1])
  })

  it('decides here while nobody can be told, and no longer once control knows', async () => {
    canTell = false
    for (const number of [1, 2, 3]) crash(number, 'a', `only-${number}`)
    expect(reporter.locallyQuarantined.size).toBe(0)
    await vi.advanceTimersByTimeAsync(1500)
    expect([...reporter.locallyQuarantined]).toEqual(['a'])
    canTell = true
    await vi.advanceTimersByTimeAsync(1000)
    expect(reporter.locallyQuarantined.size).toBe(0)
  })

  it('is taken back for a request that runs well afterwards, and asks for no fingerprint where nothing is watched', async () => {
    reporter.recordSuccess(() => { throw new Error('not needed') })
    crash(1, 'a')
    reporter.recordSuccess(() => 'another')
    reporter.recordSuccess(() => 'a')
    reporter.recordSuccess(() => 'a')
    await vi.advanceTimersByTimeAsync(100)
    expect(words.flatMap(({ ranWell }) => ranWell)).toEqual(['a'])
  })

  it('stays bounded while nobody can be told, and goes out in parts', async () => {
    canTell = false
    for (let number = 0; number < 1000; number += 1) crash(number, `r-${number}`)
    await vi.advanceTimersByTimeAsync(1000)
    canTell = true
    await vi.advanceTimersByTimeAsync(5000)
    expect(words.flatMap(({ crashes }) => crashes).length).toBe(128)
    expect(Math.max(...words.map(({ crashes }) => crashes.length))).toBe(16)
  })
})
