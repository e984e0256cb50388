import { beforeEach, describe, expect, it, vi, afterEach } from 'vitest'
import { type Message } from '@gullwall/transport.messages'
import { PartObserver } from '../src/part-observer.ts'

const CRASH_STEP_MS = 200

describe('the parts that run well at a process', () => {
  let now: number
  let sent: Message[]
  let releasable: string[]
  let observer: PartObserver
  const link = { send: (message: Message) => sent.push(message) > 0 }
  const runs = () => sent.flatMap((message) => message.kind === 'partRuns' ? message.runs : [])

  beforeEach(() => {
    vi.useFakeTimers()
    now = 100_000
    sent = []
    releasable = []
    observer = new PartObserver({ links: () => [link], findReleasable: () => releasable, now: () => now })
  })
  afterEach(() => {
    observer.stop()
    vi.useRealTimers()
  })

  it('are told to a control process that suspects them, with whether the run began after the first crash', () => {
    observer.recordRun(['app/a', 'app/b'], 'north', now - 5000)
    observer.recordRun(['app/b'], 'south', now - 100)
    observer.receiveSuspects(link, { suspects: [{ part: 'app/a', sinceMs: 2000 }, { part: 'app/b', sinceMs: 2000 }, { part: 'app/c', sinceMs: 1 }] })
    expect(runs()).toEqual([
      { part: 'app/a', organisation: 'north', isRecent: false },
      { part: 'app/b', organisation: 'north', isRecent: false },
      { part: 'app/b', organisation: 'south', isRecent: true }
    ])
  })

  it('are told as they run while they are suspected, and not otherwise', () => {
    observer.recordRun(['app/a'], 'north', now)
    vi.runAllTimers()
    expect(sent).toEqual([])
    observer.receiveSuspects(link, { suspects: [{ part: 'app/b', sinceMs: 500 }] })
    observer.recordRun(['app/a', 'app/b'], 'north', now)
    vi.runAllTimers()
    expect(runs()).toEqual([{ part: 'app/b', organisation: 'north', isRecent: true }])
    observer.receiveSuspects(link, { suspects: [] })
    observer.recordRun(['app/b'], 'north', now)
    vi.runAllTimers()
    expect(runs()).toHaveLength(1)
  })

  it('are told if they may be released from quarantine, to every control process', () => {
    releasable = ['app/a']
    observer.recordRun(['app/a'], 'north', now)
    vi.runAllTimers()
    expect(runs()).toEqual([{ part: 'app/a', organisation: 'north', isRecent: true }])
  })

  it('are not held by the observations of this process alone, and those that never do are', () => {
    for (let crash = 0; crash < 6; crash += 1) {
      now += CRASH_STEP_MS
      observer.recordCrash(`i-${crash}`, [['app/system', 'north', 0], ['app/deadly', 'north', 1]])
      observer.recordRun(['app/system'], 'north', now)
    }
    expect([...observer.ownHeldNames]).toEqual(['app/deadly/north'])
  })
})
