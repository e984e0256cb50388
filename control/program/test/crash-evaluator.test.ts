import { beforeEach, describe, expect, it } from 'vitest'
import { ControlState, heldRequestsIn, type Command, type QuarantineResult } from '@gullwall/control.state'
import { type LogRecord } from '@gullwall/core.logger'
import { CrashEvaluator } from '../src/crash-evaluator.ts'

const QUARANTINE_MS = 60_000
const RETENTION_MS = 20_000

describe('CrashEvaluator', () => {
  let now: number
  let role: 'leader' | 'follower'
  let state: ControlState
  let evaluator: CrashEvaluator
  let logLines: LogRecord[]
  let proposed: Command[]

  beforeEach(() => {
    now = 0
    role = 'leader'
    state = new ControlState()
    logLines = []
    proposed = []
    evaluator = createEvaluator(state)
  })

  function createEvaluator (of: ControlState): CrashEvaluator {
    const applyQuarantineCommand = async (command: Command) => {
      proposed.push(command)
      return JSON.parse(of.apply(0, JSON.stringify(command))) as QuarantineResult
    }
    const logger = { info: (line: LogRecord) => logLines.push(line), warn: (line: LogRecord) => logLines.push(line) }
    const quorum = { get role () { return role } }
    const services = { state: of, quorum, proposer: { applyQuarantineCommand }, logger }
    return new CrashEvaluator(services as never, { crashRetentionMs: RETENTION_MS, quarantineMs: QUARANTINE_MS, now: () => now })
  }

  async function advance (ms: number, of = evaluator): Promise<void> {
    for (const end = now + ms; now < end; now += 50) await of.runDueCommands()
  }

  const report = async (endpoint: string, ...requests: string[]) => {
    await evaluator.recordCrashes({ kind: 'crashes', crashes: [{ endpoint, requests }], ranWell: [] })
  }

  const quarantined = (of = state) => [...heldRequestsIn(of.records)]

  async function quarantineOne (): Promise<void> {
    for (const endpoint of ['i-1', 'i-2', 'i-3']) await report(endpoint, 'a', `only-${endpoint}`)
    await advance(500)
  }

  it('evaluates crashes only after all boxes have had time to report, so that a first report does not decide', async () => {
    for (const endpoint of ['i-1', 'i-2', 'i-3']) await report(endpoint, 'bystander')
    await advance(100)
    expect(quarantined()).toEqual([])
    for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) await report(endpoint, 'a')
    await advance(500)
    expect(quarantined()).toEqual(['a'])
    expect(logLines).toContainEqual(expect.objectContaining({ channel: 'quarantine', event: 'held', fingerprint: 'a' }))
  })

  it('evaluates crashes only on the leader, and on the next leader if the previous one did not', async () => {
    role = 'follower'
    await quarantineOne()
    expect(quarantined()).toEqual([])
    role = 'leader'
    await advance(500)
    expect(quarantined()).toEqual(['a'])
  })

  it('quarantines a request for a limited time, and quarantines it again after one more crash', async () => {
    await quarantineOne()
    await advance(QUARANTINE_MS - 1000)
    expect(quarantined()).toEqual(['a'])
    await advance(2000)
    expect(quarantined()).toEqual([])
    await report('i-9', 'a', 'b')
    await advance(500)
    expect(quarantined()).toEqual(['a'])
  })

  it('removes crashes after the retention time', async () => {
    await report('i-1', 'a')
    await report('i-2', 'a')
    await advance(RETENTION_MS + 1000)
    await report('i-3', 'a')
    await advance(500)
    expect(quarantined()).toEqual([])
    expect(state.quarantine.evidence.endpoints).toEqual(['i-3'])
  })

  it('keeps crashes and quarantined requests across a restart from a snapshot', async () => {
    await quarantineOne()
    await report('i-7', 'b')
    const restarted = new ControlState()
    restarted.restore(state.snapshot())
    expect(quarantined(restarted)).toEqual(['a'])
    expect(restarted.quarantine.evidence.endpoints).toContain('i-7')
    await advance(500, createEvaluator(restarted))
    expect(quarantined(restarted)).toEqual(['a'])
  })

  it('releases a request that completed successfully', async () => {
    await quarantineOne()
    await evaluator.recordCrashes({ kind: 'crashes', crashes: [], ranWell: ['a'] })
    expect(quarantined()).toEqual([])
  })

  it('proposes no commands while there are no crashes', async () => {
    await advance(5000)
    expect(proposed).toEqual([])
  })
})
