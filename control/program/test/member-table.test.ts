import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type Member } from '@gullwall/transport.messages'
import { MemberTable, type MemberChange } from '../src/member-table.ts'

const ADDRESS = '127.0.0.1:7000'
const member = { address: ADDRESS, box: 'runner-1', dataCentre: 'east' } as unknown as Member
const present: MemberChange = { kind: 'members', whole: false, present: [member], gone: [] }
const AFTER_TIMEOUT_MS = 10_000

describe('MemberTable', () => {
  let table: MemberTable
  let changes: MemberChange[]

  beforeEach(() => {
    vi.useFakeTimers()
    table = new MemberTable()
    changes = []
    table.onChange((change) => changes.push(change))
  })
  afterEach(() => { vi.useRealTimers() })

  const reportedGone = (): string[] => changes.flatMap(({ gone }) => gone)

  it('reports a sidecar as gone after the reconnect timeout', () => {
    table.addLocal(member)
    table.linkClosed(ADDRESS)
    vi.advanceTimersByTime(AFTER_TIMEOUT_MS)
    expect(reportedGone()).toEqual([ADDRESS])
  })

  it('does not report a sidecar as gone if it connected to a peer in the meantime', () => {
    table.addLocal(member)
    table.linkClosed(ADDRESS)
    table.applyPeerChange('c2', present)
    vi.advanceTimersByTime(AFTER_TIMEOUT_MS)
    expect(reportedGone()).toEqual([])
    expect(table.all()).toEqual([member])
  })

  it('does not report a sidecar as gone while it is linked here, if a peer reports it as gone', () => {
    table.applyPeerChange('c2', present)
    table.addLocal(member)
    table.applyPeerChange('c2', { ...present, present: [], gone: [ADDRESS] })
    expect(reportedGone()).toEqual([])
  })

  it('notifies local listeners only of sidecars that are linked here', () => {
    const local: MemberChange[] = []
    table.onLocalChange((change) => local.push(change))
    table.addLocal(member)
    table.applyPeerChange('c2', present)
    table.linkClosed(ADDRESS)
    vi.advanceTimersByTime(AFTER_TIMEOUT_MS)
    expect(local.map(({ present: here, gone }) => [here.length, gone])).toEqual([[1, []], [0, [ADDRESS]]])
  })
})
