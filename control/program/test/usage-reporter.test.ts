import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { type DeliveryOutcome, type FencedReport, type UsageSink } from '@gullwall/control.program'
import { MemoryDisk, readChecked, writeChecked } from '@gullwall/control.storage'
import { type Link } from '@gullwall/transport.link'
import { running, start, stopAll, type Control } from './control-processes.ts'

const WINDOW_MS = 1000
const USAGE = { address: '127.0.0.1:1', windowMs: WINDOW_MS, lateMs: 20_000, leaseMs: 300 }

/** What the outside has been told, and how it answers. */
class FakeSink implements UsageSink {
  readonly reports: FencedReport[] = []
  answer: (report: FencedReport) => DeliveryOutcome = () => ({ type: 'delivered' })

  async deliver (report: FencedReport): Promise<DeliveryOutcome> {
    this.reports.push(report)
    return this.answer(report)
  }

  of (window: number): FencedReport[] {
    return this.reports.filter((report) => report.window === window)
  }
}

const entry = { peer: { name: 'entry-1', startId: 'start-1' } } as unknown as Link

async function startFive (sink: FakeSink): Promise<Control[]> {
  const addresses = await freeAddresses(5)
  return await Promise.all(addresses.map(async (address) => await start({ address, seeds: addresses, usage: USAGE, usageSink: sink })))
}

function leaderOf (controls: readonly Control[]): Control | undefined {
  return controls.find((control) => control.get('quorum').role === 'leader')
}

function currentWindow (): number {
  return Math.floor(Date.now() / WINDOW_MS)
}

describe('a report of usage', () => {
  afterEach(stopAll)

  it('adds up what entries told different control processes, and is delivered once', async () => {
    const sink = new FakeSink()
    const controls = await startFive(sink)
    const window = currentWindow()
    for (const [index, control] of controls.entries()) {
      control.get('usageReporter').receiveFromEntry({ peer: { name: `entry-${index}`, startId: 's' } } as unknown as Link, {
        kind: 'usage', windows: [{ window, counts: [{ organisation: 'a', begun: index + 1 }] }]
      })
    }
    await until('reports', () => sink.of(window + 2).length > 0, 20_000)
    expect(sink.of(window).map(({ counts }) => counts)).toEqual([[{ organisation: 'a', begun: 15 }]])
  })

  it('is the same again from whoever takes over, though more is known by then', async () => {
    const sink = new FakeSink()
    sink.answer = () => ({ type: 'failed', reason: 'no answer' })
    const controls = await startFive(sink)
    const window = currentWindow()
    const tell = (begun: number) => {
      for (const control of controls) {
        control.get('usageReporter').receiveFromEntry(entry, { kind: 'usage', windows: [{ window, counts: [{ organisation: 'a', begun }] }] })
      }
    }
    tell(5)
    await until('reports', () => sink.of(window).length > 0, 20_000)
    tell(9)
    const first = leaderOf(controls) as Control
    running.forEach((control, address) => { if (control === first) running.delete(address) })
    await first.stop()
    sink.answer = () => ({ type: 'delivered' })
    const before = sink.of(window).length
    await until('reports', () => sink.of(window).length > before, 20_000)
    const reports = sink.of(window)
    for (const { counts } of reports) expect(counts).toEqual([{ organisation: 'a', begun: 5 }])
    const holders = new Map(reports.map(({ token, holder }) => [token, holder]))
    expect(new Set(holders.values()).size).toBe(holders.size)
    expect(Math.max(...holders.keys())).toBe(reports.at(-1)?.token)
  })

  it('has the counts of a window in which all processes were killed', async () => {
    const sink = new FakeSink()
    const addresses = await freeAddresses(5)
    const disks = addresses.map(() => new MemoryDisk())
    const startAll = async (isAgain: boolean) => await Promise.all(addresses.map(async (address, index) => await start({
      address, seeds: addresses, usage: USAGE, usageSink: sink, founds: !isAgain, disk: isAgain ? disks[index]?.reopened() : disks[index]
    })))
    const controls = await startAll(false)
    await until('a leader', () => leaderOf(controls) !== undefined, 20_000)
    const window = currentWindow()
    for (const [index, control] of controls.entries()) {
      control.get('usageReporter').receiveFromEntry({ peer: { name: `entry-${index}`, startId: 's' } } as unknown as Link, {
        kind: 'usage', windows: [{ window, counts: [{ organisation: 'a', begun: index + 1 }] }]
      })
    }
    await until('the counts are written', async () => {
      const kept = await Promise.all(disks.map(async (disk) => await readChecked(disk, 'usage')))
      return kept.every((text) => text?.includes('"begun"') === true)
    })
    await stopAll()
    const again = await startAll(true)
    // An entry that lives on tells all of its counts again; they are the same counts.
    again[0]?.get('usageReporter').receiveFromEntry({ peer: { name: 'entry-0', startId: 's' } } as unknown as Link, {
      kind: 'usage', windows: [{ window, counts: [{ organisation: 'a', begun: 1 }] }]
    })
    await until('reports', () => sink.of(window).length > 0, 20_000)
    expect(sink.of(window)[0]?.counts).toEqual([{ organisation: 'a', begun: 15 }])
  })

  it('starts without counts where the file means nothing', async () => {
    const disk = new MemoryDisk()
    await writeChecked(disk, 'usage', '{"no":"counts"}')
    const [address = ''] = await freeAddresses(1)
    const control = await start({ address, seeds: [address], disk, usage: USAGE, usageSink: new FakeSink() })
    expect(control.get('usageReporter').getUsageParts(currentWindow()).sources).toEqual([])
  })

  it('is not sent again under a token that was refused', async () => {
    const sink = new FakeSink()
    sink.answer = () => ({ type: 'fenced' })
    await startFive(sink)
    await until('reports', () => sink.reports.length > 0, 20_000)
    const token = sink.reports[0]?.token
    const window = sink.reports[0]?.window ?? 0
    await until('reports', () => currentWindow() > window + 5, 20_000)
    expect(sink.reports.filter((report) => report.token === token)).toHaveLength(1)
  })
})
