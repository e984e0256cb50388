import { afterEach, describe, expect, it } from 'vitest'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { createLogger } from '@gullwall/core.logger'
import { Dialer } from '@gullwall/transport.link'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { running, start, stopAll, type Control } from './control-processes.ts'

const LINK_KEY = 'a-shared-key-for-loopback'
const logger = createLogger({ program: 'test', box: 'test', level: 'error', write: () => {} })
const dialers: Dialer[] = []

/** An entry that keeps what it is told, with the control process that told it. */
class Entry {
  readonly received: Array<{ from: string, message: Message }> = []
  private readonly dialers = new Map<string, Dialer>()

  constructor (readonly name: string, dataCentre: string, addresses: readonly string[]) {
    for (const address of addresses) {
      const dialer = new Dialer(address, {
        local: { role: 'entry', name, startId: name, dataCentre },
        sharedKey: LINK_KEY,
        logger,
        revision: () => 0,
        onOpen: () => {},
        onMessage: (_link, message) => this.received.push({ from: address, message }),
        onClose: () => {}
      })
      this.dialers.set(address, dialer)
      dialers.push(dialer)
    }
  }

  get isLinked (): boolean {
    return [...this.dialers.values()].every(({ link }) => link?.isOpen === true)
  }

  tell (address: string, message: Message): void {
    this.dialers.get(address)?.link?.send(message)
  }

  /** Closes all links. */
  leave (): void {
    for (const dialer of this.dialers.values()) dialer.stop()
  }
}

afterEach(async () => {
  for (const dialer of dialers.splice(0)) dialer.stop()
  await stopAll()
})

async function twoDataCentres (): Promise<{ near: string, far: string, entries: Entry[] }> {
  const [near = '', far = ''] = await freeAddresses(2)
  const seeds = [near, far]
  await start({ address: near, seeds, dataCentre: 'dc1' })
  await start({ address: far, seeds, dataCentre: 'dc2', founds: false })
  const isPeered = (control: Control) => control.get('peers').links().length === 1
  await until('links of control', () => [...running.values()].every(isPeered))
  const entries = ['dc1', 'dc1', 'dc2', 'dc3'].map((dataCentre, index) => new Entry(`entry-${index}`, dataCentre, seeds))
  await until('links of entries', () => entries.every(({ isLinked }) => isLinked))
  return { near, far, entries }
}

function workOf (running: number): MessageOf<'work'> {
  return { kind: 'work', works: [{ incarnation: 'i-1', unread: [{ urgency: 3, tokens: 100 }], running, strain: 0.5, sensitive: 0, unreachable: 0 }], holdings: [], observations: [], listens: true }
}

const idle: MessageOf<'work'> = { kind: 'work', works: [], holdings: [], observations: [], listens: true }

/** What an entry was told of the others' work at the endpoint, and by whom. */
function sumsAt (entry: Entry | undefined): Array<{ from: string, running: number, tokens: number }> {
  return (entry?.received ?? []).flatMap(({ from, message }) => (
    message.kind === 'workSums'
      ? message.works.filter(({ incarnation }) => incarnation === 'i-1').map(({ running, unread }) => (
        { from, running, tokens: unread.reduce((sum, { tokens }) => sum + tokens, 0) }
      ))
      : []
  ))
}

/** From how many peers the control process of an entry hears, by its latest word. */
function peersTold (entry: Entry): number {
  return entry.received.flatMap(({ message }) => message.kind === 'workSums' ? [message.peers] : []).at(-1) ?? -1
}

async function untilTold (entry: Entry | undefined, running: number): Promise<void> {
  await until(`${entry?.name ?? ''} is told of ${running}`, () => sumsAt(entry).at(-1)?.running === running)
}

describe('what entries have under way', () => {
  it('is added up for each of the others, by the control process that it tells', async () => {
    const { near, far, entries } = await twoDataCentres()
    const [one, two, three, four] = entries
    const tells: Array<[Entry | undefined, string]> = [[one, near], [two, near], [three, far], [four, near]]
    for (const [index, [entry, address]] of tells.entries()) entry?.tell(address, workOf(10 ** index))
    await untilTold(one, 1110)
    await untilTold(two, 1101)
    await untilTold(three, 1011)
    await untilTold(four, 111)
    expect(sumsAt(one).at(-1)?.tokens).toBe(300)
    await until('peers are heard', () => entries.every((entry) => peersTold(entry) === 1))
    for (const [entry, address] of tells) expect(new Set(sumsAt(entry).map(({ from }) => from))).toEqual(new Set([address]))
  })

  it('counts no more once the entry says so, tells another process, or has gone', async () => {
    const { near, far, entries } = await twoDataCentres()
    const [one, two, three] = entries
    one?.tell(near, workOf(1))
    two?.tell(near, workOf(10))
    three?.tell(far, idle)
    await untilTold(three, 11)
    one?.tell(near, idle)
    await untilTold(three, 10)
    two?.tell(near, { ...idle, listens: false })
    two?.tell(far, workOf(10))
    await untilTold(one, 10)
    two?.leave()
    await untilTold(three, 0)
    await untilTold(one, 0)
  })

  it('is known to an entry that comes later, and to a control process that was linked anew', async () => {
    const { near, far, entries } = await twoDataCentres()
    entries[0]?.tell(near, workOf(1))
    entries[1]?.tell(near, idle)
    for (const link of [...running.get(near)?.get('peers').links() ?? []]) link.close('test')
    await until('links again', () => running.get(near)?.get('peers').links().length === 1)
    entries[2]?.tell(far, idle)
    await untilTold(entries[2], 1)
  })

  it('goes with the parts of prompts that were sent, to every other entry once', async () => {
    const { near, far, entries } = await twoDataCentres()
    for (const entry of entries.slice(0, 2)) entry.tell(near, idle)
    entries[2]?.tell(far, idle)
    const holding = { incarnation: 'i-1', parts: [{ id: 'subject', tokens: 5 }] }
    const holdingsOf = (entry: Entry | undefined) => entry?.received.flatMap(({ message }) => message.kind === 'workSums' ? message.holdings : [])
    await until('all are heard', () => entries.slice(0, 3).every((entry) => entry.received.some(({ message }) => message.kind === 'workSums')))
    entries[0]?.tell(near, { ...workOf(1), holdings: [holding] })
    await untilTold(entries[1], 1)
    await untilTold(entries[2], 1)
    expect([0, 1, 2].map((index) => holdingsOf(entries[index]))).toEqual([[], [holding], [holding]])
  })
})

it('refreshed leases reach entries from the control process near them, also those that a peer has heard', async () => {
  const { near, far, entries } = await twoDataCentres()
  const lease = { incarnation: 'i-1', service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, state: 'ready', ageMs: 0 } as const
  const registrar = running.get(near)?.get('registrar')
  await registrar?.receiveHeartbeat({ ...lease, sequence: 1 })
  await until('the lease is known', () => entries.every((entry) => entry.received.some(({ message }) => (
    message.kind === 'leases' && message.leases.some(({ sequence }) => sequence === 1)
  ))))
  await registrar?.receiveHeartbeat({ ...lease, sequence: 2 })
  const toldOfRefresh = (entry: Entry | undefined) => entry?.received.filter(({ message }) => (
    message.kind === 'leases' && message.leases.some(({ sequence }) => sequence === 2)
  )).map(({ from }) => from)
  await until('near entries have the refresh', () => [0, 1, 2].every((index) => (toldOfRefresh(entries[index])?.length ?? 0) > 0))
  expect(toldOfRefresh(entries[0])).toEqual([near])
  expect(toldOfRefresh(entries[2])).toEqual([far])
})

it('entries learn of a control process that joins later', async () => {
  const [early = '', late = ''] = await freeAddresses(2)
  await start({ address: early, seeds: [early] })
  const entry = new Entry('entry-0', 'dc1', [early])
  await until('the link', () => entry.isLinked)
  await start({ address: late, seeds: [early], founds: false })
  await until('word of the late one', () => entry.received.some(({ message }) => (
    message.kind === 'controls' && message.addresses.includes(late)
  )))
})

it('many entries that come at once hear little of each other, and of many endpoints together', async () => {
  const [address = ''] = await freeAddresses(1)
  const control = await start({ address, seeds: [address] })
  const startedAt = performance.now()
  const entries = Array.from({ length: 20 }, (_unused, index) => new Entry(`entry-${index}`, 'dc1', [address]))
  await until('links of entries', () => entries.every(({ isLinked }) => isLinked))
  const knows = (entry: Entry, entriesTold: number) => entry.received.some(({ message }) => message.kind === 'controls' && message.entries === entriesTold)
  await until('all are counted', () => entries.every((entry) => knows(entry, 20)))
  const lease = { service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, state: 'ready', ageMs: 0, sequence: 1 } as const
  for (let index = 0; index < 50; index += 1) void control.get('registrar').receiveHeartbeat({ ...lease, incarnation: `i-${index}` })
  const leasesAt = (entry: Entry) => entry.received.flatMap(({ message }) => message.kind === 'leases' && message.leases.length > 0 ? [message] : [])
  await until('all leases', () => entries.every((entry) => leasesAt(entry).flatMap(({ leases }) => leases).length === 50))
  const elapsedMs = performance.now() - startedAt
  for (const entry of entries) {
    const counts = entry.received.filter(({ message }) => message.kind === 'controls')
    expect(counts.length).toBeLessThanOrEqual(3 + elapsedMs / 100 + elapsedMs / 2000)
    expect(leasesAt(entry).length).toBeLessThanOrEqual(2)
  }
})
