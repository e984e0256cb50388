import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { type Link } from '@gullwall/transport.link'
import { type Message, type MessageOf, type Reading } from '@gullwall/transport.messages'
import { Proximity } from '../src/proximity.ts'
import { LoadRelay } from '../src/load-relay.ts'

const ENTRIES = 60
/** Longer than the time within which changes are told together, in ms. */
const AFTER_SPACING_MS = 50

class FakeLink {
  readonly told: Array<MessageOf<'workSums'>> = []
  readonly readings: Reading[] = []
  readonly peer: { name: string, role: string, dataCentre: string }

  constructor (name: string, role = 'entry', dataCentre = 'dc1') {
    this.peer = { name, role, dataCentre }
  }

  send (message: Message): boolean {
    if (message.kind === 'workSums') this.told.push(message)
    if (message.kind === 'readings') this.readings.push(...message.readings)
    return true
  }

  get asLink (): Link {
    return this as unknown as Link
  }
}

const REGIONS = { dc1: 'north', dc2: 'north', dc9: 'south' }

function relayWith (links: readonly FakeLink[]): LoadRelay {
  const peers = { links: () => links.map(({ asLink }) => asLink) }
  return new LoadRelay({ peers: peers as never, proximity: new Proximity({ settings: { dataCentre: 'dc1', member: 'c1', regions: REGIONS }, peers }) })
}

function workAt (incarnation: string): MessageOf<'work'> {
  return { kind: 'work', works: [{ incarnation, unread: [], running: 1, strain: 0, sensitive: 0, unreachable: 0 }], holdings: [], observations: [], listens: true }
}

describe('what an entry hears of the others', () => {
  const peer = new FakeLink('control-2', 'control')
  let relay: LoadRelay
  let entries: FakeLink[]

  beforeEach(() => {
    vi.useFakeTimers()
    peer.told.length = 0
    relay = relayWith([peer])
    relay.start()
    entries = Array.from({ length: ENTRIES }, (_unused, index) => new FakeLink(`entry-${index}`))
    for (const entry of entries) relay.receiveFromEntry(entry.asLink, { ...workAt('i-0'), works: [] })
    for (const entry of entries) entry.told.length = 0
  })

  afterEach(() => {
    relay.stop()
    vi.useRealTimers()
  })

  it('does not grow with their number: what they tell at about the same time comes as one word', () => {
    for (const entry of entries) relay.receiveFromEntry(entry.asLink, workAt('i-1'))
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    for (const entry of entries) {
      expect(entry.told.map(({ works }) => works)).toEqual([[{ incarnation: 'i-1', unread: [], running: ENTRIES - 1, strain: 0, sensitive: 0, unreachable: 0 }]])
    }
    expect(peer.told.map(({ works }) => works)).toEqual([[{ incarnation: 'i-1', unread: [], running: ENTRIES, strain: 0, sensitive: 0, unreachable: 0 }]])
  })

  it('comes at once after a pause, and then within the spacing', () => {
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, workAt('i-1'))
    vi.advanceTimersByTime(1)
    expect(entries[1]?.told).toHaveLength(1)
    relay.receiveFromEntry((entries[2] as FakeLink).asLink, workAt('i-1'))
    vi.advanceTimersByTime(1)
    expect(entries[1]?.told).toHaveLength(1)
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[1]?.told).toHaveLength(2)
  })

  it('tells from how many peers its control process hears, and of none that has fallen silent', () => {
    relay.receiveFromPeer(peer.asLink, { kind: 'workSums', whole: true, peers: 0, works: [], holdings: [] })
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, workAt('i-1'))
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[1]?.told.at(-1)?.peers).toBe(1)
    for (let second = 0; second < 4; second += 1) {
      vi.advanceTimersByTime(1000)
      for (const entry of entries) relay.receiveFromEntry(entry.asLink, { ...workAt('i-0'), works: [] })
    }
    expect(entries[1]?.told.at(-1)?.peers).toBe(0)
    expect(peer.told.length).toBeGreaterThanOrEqual(4)
  })

  it('crosses to another region rarely, and then all of it in one word', () => {
    const far = new FakeLink('control-9', 'control', 'dc9')
    const both = relayWith([peer, far])
    for (const entry of entries) both.receiveFromEntry(entry.asLink, { ...workAt('i-0'), works: [] })
    vi.advanceTimersByTime(1000)
    far.told.length = 0
    for (let word = 1; word <= 20; word += 1) {
      both.receiveFromEntry((entries[0] as FakeLink).asLink, workAt(`i-${word}`))
      vi.advanceTimersByTime(50)
    }
    vi.advanceTimersByTime(300)
    expect(peer.told.length).toBeGreaterThan(15)
    expect(far.told.length).toBeLessThanOrEqual(6)
    const known = new Map(far.told.flatMap(({ works }) => works).map(({ incarnation, running }) => [incarnation, running]))
    expect(known.get('i-20')).toBe(1)
    expect([...known.values()].reduce((sum, running) => sum + running, 0)).toBe(1)
    both.stop()
  })

  it('is told the sooner the fewer they are', () => {
    const few = relayWith([])
    const [one, two] = [new FakeLink('one'), new FakeLink('two')]
    for (const entry of [one, two]) few.receiveFromEntry(entry.asLink, { ...workAt('i-0'), works: [] })
    one.told.length = 0
    for (let word = 1; word <= 3; word += 1) {
      few.receiveFromEntry(two.asLink, workAt(`i-${word}`))
      vi.advanceTimersByTime(6)
      expect(one.told).toHaveLength(word)
    }
    few.stop()
  })

  it('is nothing where only its own work has changed', () => {
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, workAt('i-1'))
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[0]?.told).toEqual([])
    expect(entries[1]?.told).toHaveLength(1)
  })

  it('is how an engine reads, once a few of them saw it: none of them needs to meet it often', () => {
    for (const entry of entries.slice(0, 20)) {
      relay.receiveFromEntry(entry.asLink, { ...workAt('i-1'), observations: [{ incarnation: 'i-1', pauses: [320], reads: [] }] })
    }
    vi.advanceTimersByTime(1000)
    const learnt = entries[50]?.readings.at(-1)
    expect(learnt?.incarnation).toBe('i-1')
    expect(learnt?.pauseMs).toBeGreaterThan(300)
    expect(entries[50]?.readings.length).toBeLessThanOrEqual(4)
  })

  it('forgets an entry that tells nothing any more, and goes on telling those that do', () => {
    relay.receiveFromEntry((entries[0] as FakeLink).asLink, workAt('i-1'))
    for (let second = 0; second < 4; second += 1) {
      vi.advanceTimersByTime(1000)
      for (const entry of entries.slice(1)) relay.receiveFromEntry(entry.asLink, { ...workAt('i-0'), works: [] })
    }
    vi.advanceTimersByTime(AFTER_SPACING_MS)
    expect(entries[1]?.told.flatMap(({ works }) => works).at(-1)).toMatchObject({ incarnation: 'i-1', running: 0 })
    expect(entries[1]?.told.length).toBeGreaterThanOrEqual(4)
    expect(entries[0]?.told.length).toBeLessThanOrEqual(4)
  })
})
