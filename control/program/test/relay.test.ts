import { afterEach, expect, it } from 'vitest'
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

  toldOf (kind: Message['kind']): string[] {
    return this.received.filter(({ message }) => message.kind === kind).map(({ from }) => from)
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

const work: MessageOf<'work'> = { kind: 'work', entry: 'entry-0', works: [], holdings: [] }

it('word of work crosses to another data centre once, and reaches each other entry once', async () => {
  const { near, far, entries } = await twoDataCentres()
  entries[0]?.tell(near, work)
  await until('everybody has it', () => entries.slice(1).every((entry) => entry.toldOf('work').length > 0))
  expect(entries.map((entry) => entry.toldOf('work'))).toEqual([[], [near], [far], [near]])
})

it('refreshed leases reach entries from the control process near them, also those that a peer has heard', async () => {
  const { near, far, entries } = await twoDataCentres()
  const lease = { incarnation: 'i-1', service: 's', address: '127.0.0.1:1', dataCentre: 'dc1', slots: 1, state: 'ready', ageMs: 0 } as const
  const registrar = running.get(near)?.get('registrar')
  await registrar?.hear({ ...lease, sequence: 1 })
  await until('the lease is known', () => entries.every((entry) => entry.received.some(({ message }) => (
    message.kind === 'leases' && message.leases.some(({ sequence }) => sequence === 1)
  ))))
  await registrar?.hear({ ...lease, sequence: 2 })
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
