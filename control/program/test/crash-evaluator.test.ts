import { beforeEach, describe, expect, it } from 'vitest'
import { ControlState, heldRequestsIn, type Command, type QuarantineResult } from '@gullwall/control.state'
import { type LogRecord } from '@gullwall/core.logger'
import { CrashEvaluator } from '../src/crash-evaluator.ts'

const HELD_MS = 60_000
const KEPT_MS = 20_000

describe('crashes that entries tell of', () => {
  let now: number
  let role: 'leader' | 'follower'
  let state: ControlState
  let judge: CrashEvaluator
  let lines: LogRecord[]
  let proposed: Command[]

  beforeEach(() => {
    now = 0
    role = 'leader'
    state = new ControlState()
    lines = []
    proposed = []
    judge = judgeOf(state)
  })

  function judgeOf (of: ControlState): CrashEvaluator {
    const quarantine = async (command: Command) => {
      proposed.push(command)
      return JSON.parse(of.apply(0, JSON.stringify(command))) as QuarantineResult
    }
    const logger = { info: (line: LogRecord) => lines.push(line), warn: (line: LogRecord) => lines.push(line) }
    const quorum = { get role () { return role } }
    const services = { state: of, quorum, proposer: { applyQuarantineCommand: quarantine }, logger }
    return new CrashEvaluator(services as never, { crashRetentionMs: KEPT_MS, quarantineMs: HELD_MS, now: () => now })
  }

  async function pass (ms: number, of = judge): Promise<void> {
    for (const end = now + ms; now < end; now += 50) await of.runDueCommands()
  }

  const tell = async (endpoint: string, ...requests: string[]) => {
    await judge.recordCrashes({ kind: 'crashes', crashes: [{ endpoint, requests }], ranWell: [] })
  }

  const held = (of = state) => [...heldRequestsIn(of.records)]

  async function holdOne (): Promise<void> {
    for (const endpoint of ['i-1', 'i-2', 'i-3']) await tell(endpoint, 'a', `only-${endpoint}`)
    await pass(500)
  }

  it('are judged once all boxes have had the time to tell: who tells first holds nothing that another explains', async () => {
    for (const endpoint of ['i-1', 'i-2', 'i-3']) await tell(endpoint, 'bystander')
    await pass(100)
    expect(held()).toEqual([])
    for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) await tell(endpoint, 'a')
    await pass(500)
    expect(held()).toEqual(['a'])
    expect(lines).toContainEqual(expect.objectContaining({ channel: 'quarantine', event: 'held', fingerprint: 'a' }))
  })

  it('are judged by the leader only, and by the next one where it has ended before', async () => {
    role = 'follower'
    await holdOne()
    expect(held()).toEqual([])
    role = 'leader'
    await pass(500)
    expect(held()).toEqual(['a'])
  })

  it('hold a request for its time; then it may run, and one more crash holds it again', async () => {
    await holdOne()
    await pass(HELD_MS - 1000)
    expect(held()).toEqual(['a'])
    await pass(2000)
    expect(held()).toEqual([])
    await tell('i-9', 'a', 'b')
    await pass(500)
    expect(held()).toEqual(['a'])
  })

  it('are forgotten after their time', async () => {
    await tell('i-1', 'a')
    await tell('i-2', 'a')
    await pass(KEPT_MS + 1000)
    await tell('i-3', 'a')
    await pass(500)
    expect(held()).toEqual([])
    expect(state.quarantine.evidence.endpoints).toEqual(['i-3'])
  })

  it('are there after a restart from a snapshot, with what is held', async () => {
    await holdOne()
    await tell('i-7', 'b')
    const restarted = new ControlState()
    restarted.restore(state.snapshot())
    expect(held(restarted)).toEqual(['a'])
    expect(restarted.quarantine.evidence.endpoints).toContain('i-7')
    await pass(500, judgeOf(restarted))
    expect(held(restarted)).toEqual(['a'])
  })

  it('let a request go that has run well after all', async () => {
    await holdOne()
    await judge.recordCrashes({ kind: 'crashes', crashes: [], ranWell: ['a'] })
    expect(held()).toEqual([])
  })

  it('cost nothing while there are none', async () => {
    await pass(5000)
    expect(proposed).toEqual([])
  })
})
