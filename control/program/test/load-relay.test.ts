import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type Link } from '@gullwall/transport.link'
import { type Message, type MessageOf, type Reading } from '@gullwall/transport.messages'
import { Proximity } from '../src/proximity.ts'
import { LoadRelay } from '../src/load-relay.ts'

const ENTRIES = 60
/** Longer than the publishing interval, in ms. */
const AFTER_SPACING_MS = 50

class FakeLink {
  readonly sums: Array<MessageOf<'workSums'>> = []
  readonly readings: Reading[] = []
  readonly peer: { name: string, role: string, dataCentre: string }

  constructor (name: string, role = 'entry', dataCentre = 'dc1') {
    this.peer = { name, role, dataCentre }
  }

  send (message: Message): boolean {
    if (message.kind === 'workSums') this.sums.push(message)
    if (message.kind === 'readings') this.readings.push(...message.readings)
    return true
  }

  get asLink (): Link {
    return this as unknown as Link
  }
}

const REGIONS = { dc1: 'north', dc2: 'north', dc9: 'south' }

function createRelay (links: readonly FakeLink[]): LoadRelay {
  const peers = { links: () => links.map(({ asLink }) => asLink) }
  return new LoadRelay({ peers: peers as never, proximity: new Proximity({ settings: { dataCentre: 'dc1', member: 'c1', regions: REGIONS }, peers }) })
}

function createLoad (incarnation: string): MessageOf<'work'> {
  return { kind: 'work', works: [{ incarnation, unread: [], running: 1, strain: 0, sensitive: 0, unreachable: 0 }], holdings: [], observations: [], listens: true }
}

describe('LoadRelay', () => {
  const peer = new FakeLink('control-2', 'control')
  let relay: LoadRelay
  let entries: FakeLink[]

  beforeEach(() => {
    vi.useFakeTimers()
    peer.sums.length = 0
    relay = createRelay([peer])
    relay.start()
    entries = Array.from({ length: ENTRIES }, (_unused, index) => new FakeLink(`entry-${index}`))
    for (const entry of entries) relay.receiveFromEntry(entry.asLink, { ...createLoad('i-0'), works: [] })
    for (const entry of entries) entry.sums.length = 0
  })

  afterEach(() => {
    relay.stop()
    vi.useRealTimers()
  })

  it('sends changes of many entries that arrive at about the same time as one message', () => {
    for (const entry of entries) relay.receiveFromEntry(entry.asLink, createLoad('i-1'))
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    for (const entry of entries) {
      expect(entry.sums.map(({ works }) => works)).toEqual([[{ incarnation: 'i-1', unread: [], running: ENTRIES - 1, strain: 0, sensitive: 0, unreachable: 0 }]])
    }
    expect(peer.sums.map(({ works }) => works)).toEqual([[{ incarnation: 'i-1', unread: [], running: ENTRIES, strain: 0, sensitive: 0, unreachable: 0 }]])
  })

  it('publishes at once after a pause, and later changes after the interval', () => {
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, createLoad('i-1'))
    vi.advanceTimersByTime(1)
    expect(entries[1]?.sums).toHaveLength(1)
    relay.receiveFromEntry((entries[2] as FakeLink).asLink, createLoad('i-1'))
    vi.advanceTimersByTime(1)
    expect(entries[1]?.sums).toHaveLength(1)
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[1]?.sums).toHaveLength(2)
  })

  it('includes the number of active peers, without silent peers', () => {
    relay.receiveFromPeer(peer.asLink, { kind: 'workSums', whole: true, peers: 0, works: [], holdings: [] })
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, createLoad('i-1'))
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[1]?.sums.at(-1)?.peers).toBe(1)
    for (let second = 0; second < 4; second += 1) {
      vi.advanceTimersByTime(1000)
      for (const entry of entries) relay.receiveFromEntry(entry.asLink, { ...createLoad('i-0'), works: [] })
    }
    expect(entries[1]?.sums.at(-1)?.peers).toBe(0)
    expect(peer.sums.length).toBeGreaterThanOrEqual(4)
  })

  it('publishes rarely to another region, with all changes in one message', () => {
    const far = new FakeLink('control-9', 'control', 'dc9')
    const relayToBoth = createRelay([peer, far])
    for (const entry of entries) relayToBoth.receiveFromEntry(entry.asLink, { ...createLoad('i-0'), works: [] })
    vi.advanceTimersByTime(1000)
    far.sums.length = 0
    for (let index = 1; index <= 20; index += 1) {
      relayToBoth.receiveFromEntry((entries[0] as FakeLink).asLink, createLoad(`i-${index}`))
      vi.advanceTimersByTime(50)
    }
    vi.advanceTimersByTime(300)
    expect(peer.sums.length).toBeGreaterThan(15)
    expect(far.sums.length).toBeLessThanOrEqual(6)
    const known = new Map(far.sums.flatMap(({ works }) => works).map(({ incarnation, running }) => [incarnation, running]))
    expect(known.get('i-20')).toBe(1)
    expect([...known.values()].reduce((sum, running) => sum + running, 0)).toBe(1)
    relayToBoth.stop()
  })

  it('publishes after a shorter interval if there are fewer entries', () => {
    const relayToFew = createRelay([])
    const [one, two] = [new FakeLink('one'), new FakeLink('two')]
    for (const entry of [one, two]) relayToFew.receiveFromEntry(entry.asLink, { ...createLoad('i-0'), works: [] })
    one.sums.length = 0
    for (let index = 1; index <= 3; index += 1) {
      relayToFew.receiveFromEntry(two.asLink, createLoad(`i-${index}`))
      vi.advanceTimersByTime(6)
      expect(one.sums).toHaveLength(index)
    }
    relayToFew.stop()
  })

  it('sends nothing to an entry if only its own load has changed', () => {
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, createLoad('i-1'))
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[0]?.sums).toEqual([])
    expect(entries[1]?.sums).toHaveLength(1)
  })

  it('publishes the stream pause of an endpoint after a few entries have observed it', () => {
    for (const entry of entries.slice(0, 20)) {
      relay.receiveFromEntry(entry.asLink, { ...createLoad('i-1'), observations: [{ incarnation: 'i-1', pauses: [320], reads: [] }] })
    }
    vi.advanceTimersByTime(1000)
    const reading = entries[50]?.readings.at(-1)
    expect(reading?.incarnation).toBe('i-1')
    expect(reading?.pauseMs).toBeGreaterThan(300)
    expect(entries[50]?.readings.length).toBeLessThanOrEqual(4)
  })

  it('removes a silent entry, and continues to publish to the active entries', () => {
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, createLoad('i-1'))
    for (let second = 0; second < 4; second += 1) {
      vi.advanceTimersByTime(1000)
      for (const entry of entries.slice(1)) relay.receiveFromEntry(entry.asLink, { ...createLoad('i-0'), works: [] })
    }
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[1]?.sums.flatMap(({ works }) => works).at(-1)).toMatchObject({ incarnation: 'i-1', running: 0 })
    expect(entries[1]?.sums.length).toBeGreaterThanOrEqual(4)
    expect(entries[0]?.sums.length).toBeLessThanOrEqual(4)
  })
})
