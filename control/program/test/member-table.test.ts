import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type Member } from '@gullwall/transport.messages'
import { MemberTable, type MemberChange } from '../src/member-table.ts'

const ADDRESS = '127.0.0.1:7000'
const member = { address: ADDRESS, box: 'runner-1', dataCentre: 'east' } as unknown as Member
const present: MemberChange = { kind: 'members', whole: false, present: [member], gone: [] }
const LONGER_THAN_LEASE_MS = 10_000

describe('the sidecars that control knows', () => {
  let table: MemberTable
  let told: MemberChange[]

  beforeEach(() => {
    vi.useFakeTimers()
    table = new MemberTable()
    told = []
    table.onChange((change) => told.push(change))
  })
  afterEach(() => { vi.useRealTimers() })

  const goneTold = (): string[] => told.flatMap(({ gone }) => gone)

  it('are told to be gone once their lease here has ended', () => {
    table.addLocal(member)
    table.linkClosed(ADDRESS)
    vi.advanceTimersByTime(LONGER_THAN_LEASE_MS)
    expect(goneTold()).toEqual([ADDRESS])
  })

  it('are not told to be gone if they have come back through a peer meanwhile', () => {
    table.addLocal(member)
    table.linkClosed(ADDRESS)
    table.applyPeerChange('c2', present)
    vi.advanceTimersByTime(LONGER_THAN_LEASE_MS)
    expect(goneTold()).toEqual([])
    expect(table.all()).toEqual([member])
  })

  it('are not told to be gone by a peer while they are linked here', () => {
    table.applyPeerChange('c2', present)
    table.addLocal(member)
    table.applyPeerChange('c2', { ...present, present: [], gone: [ADDRESS] })
    expect(goneTold()).toEqual([])
  })

  it('are told to peers as they are here, since each peer adds up by itself', () => {
    const local: MemberChange[] = []
    table.onLocalChange((change) => local.push(change))
    table.addLocal(member)
    table.applyPeerChange('c2', present)
    table.linkClosed(ADDRESS)
    vi.advanceTimersByTime(LONGER_THAN_LEASE_MS)
    expect(local.map(({ present: here, gone }) => [here.length, gone])).toEqual([[1, []], [0, [ADDRESS]]])
  })
})
