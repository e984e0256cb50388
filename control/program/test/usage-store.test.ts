import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { MemoryDisk, readChecked, writeChecked } from '@gullwall/control.storage'
import { type SourceWindow } from '@gullwall/control.usage'
import { silentLogger } from '@gullwall/core.logger'
import { UsageReporter } from '../src/usage-reporter.ts'
import { UsageStore } from '../src/usage-store.ts'

const LONG_MS = 10_000

const counted = (source: string): SourceWindow => ({ source, window: 7, counts: [{ organisation: 'a', begun: 3 }] })

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('the counts on the disk', () => {
  it('are not replaced before they were read: entries tell a process that starts before it has come to them', async () => {
    const disk = new MemoryDisk()
    await writeChecked(disk, 'usage', JSON.stringify([counted('before')]))
    const held = [counted('after')]
    const store = new UsageStore({ services: { disk, logger: silentLogger() }, takeSnapshot: () => held })
    store.requestSave()
    await vi.advanceTimersByTimeAsync(LONG_MS)
    const read = await store.read()
    expect(read).toEqual([counted('before')])
    held.push(...read)
    await vi.advanceTimersByTimeAsync(LONG_MS)
    expect(JSON.parse(await readChecked(disk, 'usage') ?? '')).toEqual([counted('after'), counted('before')])
  })

  it('are written less often where there are so many that it takes long', async () => {
    const writesWithin = async (ms: number, tookMs: number) => {
      let clock = 0
      let writes = 0
      const take = () => {
        clock += tookMs
        writes += 1
        return []
      }
      const store = new UsageStore({ services: { disk: new MemoryDisk(), logger: silentLogger() }, takeSnapshot: take, now: () => clock })
      await store.read()
      for (let passed = 0; passed < ms; passed += 10) {
        store.requestSave()
        await vi.advanceTimersByTimeAsync(10)
      }
      store.stop()
      return writes
    }
    // The first is written at once.
    expect([await writesWithin(LONG_MS, 1), await writesWithin(LONG_MS, 10), await writesWithin(LONG_MS, 1000)]).toEqual([101, 21, 11])
  })

  it('are not told to the process that reports before they were read, which would take the rest for all', async () => {
    const disk = new MemoryDisk()
    await writeChecked(disk, 'usage', JSON.stringify([counted('before')]))
    const reporter = new UsageReporter({
      disk, logger: silentLogger(), settings: { usage: { windowMs: 5000, lateMs: 10_000, leaseMs: 3000 } }, usageSink: {}
    } as never)
    expect(() => reporter.getUsageParts(7)).toThrow(/not read yet/)
    await reporter.start()
    reporter.stop()
    expect(reporter.getUsageParts(7).sources).toEqual([{ source: 'before', counts: [{ organisation: 'a', begun: 3 }] }])
  })
})
