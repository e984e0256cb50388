import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { type MessageOf } from '@gullwall/transport.messages'
import { running, start, stopAll, type Control } from './control-processes.ts'
import { closeEntries, Entry } from './entries.ts'

afterEach(async () => {
  closeEntries()
  await stopAll()
})

async function twoDataCentres (): Promise<{ near: string, far: string, entries: Entry[] }> {
  const [near = '', far = ''] = await freeAddresses(2)
  const seeds = [near, far]
  await start({ address: near, seeds, dataCentre: 'dc1' })
  await start({ address: far, seeds, dataCentre: 'dc2' })
  const isPeered = (control: Control) => control.get('peers').links().length === 1
  await until('links of control', () => [...running.values()].every(isPeered))
  const entries = ['dc1', 'dc1', 'dc2', 'dc3'].map((dataCentre, index) => new Entry(`entry-${index}`, dataCentre, seeds))
  await until('links of entries', () => entries.every(({ isLinked }) => isLinked))
  return { near, far, entries }
}

function createLoad (running: number): MessageOf<'work'> {
  return { kind: 'work', works: [{ incarnation: 'i-1', unread: [{ urgency: 3, tokens: 100 }], running, strain: 0.5, sensitive: 0, unreachable: 0 }], holdings: [], observations: [], listens: true }
}

const idle: MessageOf<'work'> = { kind: 'work', works: [], holdings: [], observations: [], listens: true }

/** Returns the load sums that an entry received for the endpoint, with their senders. */
function receivedSums (entry: Entry | undefined): Array<{ from: string, running: number, tokens: number }> {
  return (entry?.received ?? []).flatMap(({ from, message }) => (
    message.kind === 'workSums'
      ? message.works.filter(({ incarnation }) => incarnation === 'i-1').map(({ running, unread }) => (
        { from, running, tokens: unread.reduce((sum, { tokens }) => sum + tokens, 0) }
      ))
      : []
  ))
}

/** Returns the number of active peers in the latest message that an entry received, or -1. */
function receivedPeerCount (entry: Entry): number {
  return entry.received.flatMap(({ message }) => message.kind === 'workSums' ? [message.peers] : []).at(-1) ?? -1
}

async function untilReceived (entry: Entry | undefined, running: number): Promise<void> {
  await until(`${entry?.name ?? ''} to receive a sum of ${running}`, () => receivedSums(entry).at(-1)?.running === running)
}

describe('the load of entries', () => {
  it('is summed for each other entry by the control process that this entry exchanges load with', async () => {
    const { near, far, entries } = await twoDataCentres()
    const [one, two, three, four] = entries
    const assignments: Array<[Entry | undefined, string]> = [[one, near], [two, near], [three, far], [four, near]]
    for (const [index, [entry, address]] of assignments.entries()) entry?.send(address, createLoad(10 ** index))
    await untilReceived(one, 1110)
    await untilReceived(two, 1101)
    await untilReceived(three, 1011)
    await untilReceived(four, 111)
    expect(receivedSums(one).at(-1)?.tokens).toBe(300)
    await until('active peers', () => entries.every((entry) => receivedPeerCount(entry) === 1))
    for (const [entry, address] of assignments) expect(new Set(receivedSums(entry).map(({ from }) => from))).toEqual(new Set([address]))
  })

  it('is removed after an entry reports no load, moves to another control process, or disconnects', async () => {
    const { near, far, entries } = await twoDataCentres()
    const [one, two, three] = entries
    one?.send(near, createLoad(1))
    two?.send(near, createLoad(10))
    three?.send(far, idle)
    await untilReceived(three, 11)
    one?.send(near, idle)
    await untilReceived(three, 10)
    two?.send(near, { ...idle, listens: false })
    two?.send(far, createLoad(10))
    await untilReceived(one, 10)
    two?.closeLinks()
    await untilReceived(three, 0)
    await untilReceived(one, 0)
  })

  it('is sent to an entry that connects later, and to a control process that reconnects', async () => {
    const { near, far, entries } = await twoDataCentres()
    entries[0]?.send(near, createLoad(1))
    entries[1]?.send(near, idle)
    for (const link of [...running.get(near)?.get('peers').links() ?? []]) link.close('test')
    await until('links again', () => running.get(near)?.get('peers').links().length === 1)
    entries[2]?.send(far, idle)
    await untilReceived(entries[2], 1)
  })

  it('includes the prompt parts that were sent, which each other entry receives once', async () => {
    const { near, far, entries } = await twoDataCentres()
    for (const entry of entries.slice(0, 2)) entry.send(near, idle)
    entries[2]?.send(far, idle)
    const holding = { incarnation: 'i-1', parts: [{ id: 'subject', tokens: 5 }] }
    const holdingsOf = (entry: Entry | undefined) => entry?.received.flatMap(({ message }) => message.kind === 'workSums' ? message.holdings : [])
    await until('sums at all entries', () => entries.slice(0, 3).every((entry) => entry.received.some(({ message }) => message.kind === 'workSums')))
    entries[0]?.send(near, { ...createLoad(1), holdings: [holding] })
    await untilReceived(entries[1], 1)
    await untilReceived(entries[2], 1)
    expect([0, 1, 2].map((index) => holdingsOf(entries[index]))).toEqual([[], [holding], [holding]])
  })
})

it('refreshed leases reach entries from the control process near them, including leases that a peer received', async () => {
  const { near, far, entries } = await twoDataCentres()
  const lease = { incarnation: 'i-1', service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, state: 'ready', ageMs: 0 } as const
  const registrar = running.get(near)?.get('registrar')
  await registrar?.receiveHeartbeat({ ...lease, sequence: 1 })
  await until('the lease is known', () => entries.every((entry) => entry.received.some(({ message }) => (
    message.kind === 'leases' && message.leases.some(({ sequence }) => sequence === 1)
  ))))
  await registrar?.receiveHeartbeat({ ...lease, sequence: 2 })
  const refreshSenders = (entry: Entry | undefined) => entry?.received.filter(({ message }) => (
    message.kind === 'leases' && message.leases.some(({ sequence }) => sequence === 2)
  )).map(({ from }) => from)
  await until('near entries have the refresh', () => [0, 1, 2].every((index) => (refreshSenders(entries[index])?.length ?? 0) > 0))
  expect(refreshSenders(entries[0])).toEqual([near])
  expect(refreshSenders(entries[2])).toEqual([far])
})

it('entries receive the address of a control process that joins later', async () => {
  const [early = '', late = ''] = await freeAddresses(2)
  await start({ address: early, seeds: [early] })
  const entry = new Entry('entry-0', 'dc1', [early])
  await until('the link', () => entry.isLinked)
  await start({ address: late, seeds: [early], founds: false })
  await until('the address of the late process', () => entry.received.some(({ message }) => (
    message.kind === 'controls' && message.addresses.includes(late)
  )))
})

it('entries that connect at once receive few messages about each other, and many endpoints in one message', async () => {
  const [address = ''] = await freeAddresses(1)
  const control = await start({ address, seeds: [address] })
  const startedAt = performance.now()
  const entries = Array.from({ length: 20 }, (_unused, index) => new Entry(`entry-${index}`, 'dc1', [address]))
  await until('links of entries', () => entries.every(({ isLinked }) => isLinked))
  const hasReceivedCount = (entry: Entry, entryCount: number) => entry.received.some(({ message }) => message.kind === 'controls' && message.entries === entryCount)
  await until('all are counted', () => entries.every((entry) => hasReceivedCount(entry, 20)))
  const lease = { service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, state: 'ready', ageMs: 0, sequence: 1 } as const
  for (let index = 0; index < 50; index += 1) void control.get('registrar').receiveHeartbeat({ ...lease, incarnation: `i-${index}` })
  const receivedLeases = (entry: Entry) => entry.received.flatMap(({ message }) => message.kind === 'leases' && message.leases.length > 0 ? [message] : [])
  await until('all leases', () => entries.every((entry) => receivedLeases(entry).flatMap(({ leases }) => leases).length === 50))
  const elapsedMs = performance.now() - startedAt
  for (const entry of entries) {
    const counts = entry.received.filter(({ message }) => message.kind === 'controls')
    expect(counts.length).toBeLessThanOrEqual(3 + elapsedMs / 100 + elapsedMs / 2000)
    expect(receivedLeases(entry).length).toBeLessThanOrEqual(2)
  }
})
