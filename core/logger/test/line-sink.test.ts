import { Writable } from 'node:stream'
import { describe, expect, it } from 'vitest'
import { LineSink } from '@gullwall/core.logger'

/** A reader that takes nothing until it is told to. */
class StalledReader extends Writable {
  readonly taken: string[] = []
  private readonly waiting: Array<() => void> = []
  private isOpen = false

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    const take = () => {
      this.taken.push(chunk.toString())
      done()
    }
    if (this.isOpen) take()
    else this.waiting.push(take)
  }

  open (): void {
    this.isOpen = true
    for (const take of this.waiting.splice(0)) take()
  }
}

function sinkOn (stream: Writable, limits: { maxWaitingBytes?: number, maxBytesPerSecond?: number }) {
  const clock = { now: 0 }
  const sink = new LineSink({ stream, ...limits, now: () => clock.now, droppedLine: (dropped) => `dropped ${dropped}\n` })
  return { sink, clock }
}

describe('log lines', () => {
  it('are dropped and counted while their reader stands still, and never waited for', () => {
    const reader = new StalledReader()
    const { sink } = sinkOn(reader, { maxWaitingBytes: 100 })
    for (let turn = 0; turn < 1000; turn++) sink.write('0123456789\n')
    expect(sink.dropped).toBe(1000 - 9)
    reader.open()
    sink.write('afterwards\n')
    expect(reader.taken.at(-2)).toBe('dropped 991\n')
    expect(reader.taken.at(-1)).toBe('afterwards\n')
  })

  it('stay under a volume a second', () => {
    const reader = new StalledReader()
    reader.open()
    const { sink, clock } = sinkOn(reader, { maxBytesPerSecond: 50 })
    for (let turn = 0; turn < 10; turn++) sink.write('0123456789\n')
    expect(sink.dropped).toBe(6)
    clock.now = 1000
    sink.write('0123456789\n')
    expect(sink.dropped).toBe(6)
  })

  it('outlive a reader that has gone', () => {
    const reader = new StalledReader()
    const { sink } = sinkOn(reader, {})
    reader.destroy(new Error('gone'))
    expect(() => sink.write('line\n')).not.toThrow()
  })
})
